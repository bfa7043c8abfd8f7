import { Failure } from "@vanillarouter/base/failure";

/** The result of a call as sent between VMs. */
export type WireResponse<T> = { readonly value: T; } | { readonly failure: Failure; };

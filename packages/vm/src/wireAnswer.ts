import { Failure } from "@vanillarouter/base/failure";

/** The result of a call on the wire between VMs. */
export type WireAnswer<T> = { readonly value: T; } | { readonly failure: Failure; };

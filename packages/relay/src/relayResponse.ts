import * as z from "zod";
import { relayResponseSchema } from "./relayResponseSchema";

/** A message from a gateway to an entry VM. */
export type RelayResponse = z.infer<typeof relayResponseSchema>;

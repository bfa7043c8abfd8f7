import * as z from "zod";
import { relayRequestSchema } from "./relayRequestSchema";

/** A message from an entry VM to a gateway. */
export type RelayRequest = z.infer<typeof relayRequestSchema>;

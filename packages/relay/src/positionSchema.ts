import * as z from "zod";

/** A log position, which is passed on to upstreams in digits. */
export const positionSchema = z.object({ term: z.number().int().nonnegative(), position: z.number().int().nonnegative() });

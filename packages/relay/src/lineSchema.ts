import * as z from "zod";

/** Text that is passed on as part of one line, so that a line break in it would begin another one. */
export const lineSchema = z.string().refine(text => !text.includes("\r\n"), "must be one line");

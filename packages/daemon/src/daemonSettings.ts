import { z } from "zod";
import { settingsSchema } from "./settingsSchema";

/** The validated settings of a daemon. */
export type DaemonSettings = z.infer<typeof settingsSchema>;

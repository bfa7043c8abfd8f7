import { z } from "zod";
import { settingsSchema } from "./settingsSchema";

/** The checked settings of a daemon. */
export type DaemonSettings = z.infer<typeof settingsSchema>;

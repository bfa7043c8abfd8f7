import { createLinkRouter } from "./createLinkRouter";

/** Type of the `trpc` router that VMs serve to each other. */
export type LinkRouter = ReturnType<typeof createLinkRouter>;

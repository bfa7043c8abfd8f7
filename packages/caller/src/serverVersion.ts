/** Server version reported to clients. Some clients derive the supported syntax from it. */
export const serverVersion = "8.0.36-vanillarouter";

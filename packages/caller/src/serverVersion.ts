/** Version that clients are told. Some clients derive the supported syntax from its number. */
export const serverVersion = "8.0.36-vanillarouter";

const longPassword = 0x1;
const longFlag = 0x4;
const connectWithDatabase = 0x8;
const protocol41 = 0x200;
const transactions = 0x2000;
const secureConnection = 0x8000;
const pluginAuthentication = 0x80000;
const connectionAttributes = 0x100000;
const lengthEncodedAuthData = 0x200000;

/** Constants of the MySQL protocol: capability flags, status flags and the protocol version. */
export const protocolConstants = {
    protocolVersion: 10,
    /** Capabilities announced to clients. TLS, compression and multiple statements are not supported. */
    capabilities: longPassword | longFlag | connectWithDatabase | protocol41 | transactions | secureConnection | pluginAuthentication
        | connectionAttributes | lengthEncodedAuthData,
    connectWithDatabase,
    secureConnection,
    pluginAuthentication,
    connectionAttributes,
    lengthEncodedAuthData,
    protocol41,
    utf8mb4CharacterSet: 45,
    statusInTransaction: 0x1,
    statusAutocommit: 0x2,
    headerBytes: 4,
} as const;

/** What a client sent to log in, and the random data that it was asked to scramble its password with. */
export interface LoginAttempt {
    readonly user: string;
    readonly database?: string;
    readonly authPluginData1?: Buffer;
    readonly authPluginData2?: Buffer;
    readonly authToken: Buffer;
}

/** The credentials of a client, and the random challenge (`authPluginData`) that was sent to it to scramble its password. */
export interface LoginAttempt {
    readonly user: string;
    readonly database?: string;
    readonly authPluginData1?: Buffer;
    readonly authPluginData2?: Buffer;
    readonly authToken: Buffer;
}

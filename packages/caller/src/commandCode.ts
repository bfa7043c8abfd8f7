/** Command bytes of the MySQL protocol that get specific handling. */
export enum CommandCode {
    Quit = 0x01,
    InitDatabase = 0x02,
    Query = 0x03,
    Ping = 0x0e,
    StatementSendLongData = 0x18,
    StatementClose = 0x19,
    SetOption = 0x1b,
    ResetConnection = 0x1f,
}

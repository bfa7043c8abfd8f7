/** MySQL error numbers that a stand-in uses. */
export enum ErrorNumber {
    TooManyConnections = 1040,
    AccessDenied = 1045,
    ParseError = 1064,
    /** Error raised by a stored program (SIGNAL); the group's own rejections use it. */
    Signal = 1644,
    UnsupportedPrepared = 1295,
}

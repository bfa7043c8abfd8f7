/** MySQL error numbers that a stand-in sends. */
export enum ErrorNumber {
    TooManyConnections = 1040,
    AccessDenied = 1045,
    ParseError = 1064,
    /** Error raised by a stored program with SIGNAL. Rejections that are specific to database groups use it. */
    Signal = 1644,
    UnsupportedPrepared = 1295,
}

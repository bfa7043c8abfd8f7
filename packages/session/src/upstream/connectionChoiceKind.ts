/** What a pool does for an operation that needs a connection. */
export enum ConnectionChoiceKind {
    /** Use an idle connection of the operation's tenant. */
    Reuse,
    /** Open a connection, closing another one first if the choice names one. */
    Open,
    /** Wait until a connection is returned or closed. */
    Wait,
}

/** Reason why a statement returned no result. */
export interface QueryError {
    /** Whether the upstream responded with an error and the connection stays usable. */
    readonly rejected: boolean;
    /** Whether the statement may have reached the upstream. */
    readonly mayHaveBeenSent: boolean;
    /** MySQL error number, or negated system error number such as `-ECONNREFUSED`; 0 if there is none. */
    readonly errno: number;
    readonly message: string;
}

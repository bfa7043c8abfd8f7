/** Definition of a prepared statement. */
export interface PreparedStatement {
    /** The statement with placeholders, which may contain blanks. */
    readonly shape: string;
    readonly readOnly: boolean;
}

/** Definition of a prepared statement. */
export interface PreparedStatement {
    /** The statement with placeholders, which may contain spaces. */
    readonly shape: string;
    readonly readOnly: boolean;
}

/** Session values and prepared statements that a caller was promised on its connection. */
export class SessionValues {
    public readonly values = new Map<string, string>();
    /** Shape and kind of each prepared statement by the caller's name. */
    public readonly prepared = new Map<string, { readonly shape: string; readonly readOnly: boolean; }>();

    private constructor() {}

    public static create(): SessionValues {
        return new SessionValues();
    }
}

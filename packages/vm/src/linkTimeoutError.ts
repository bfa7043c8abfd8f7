/** Ends a call whose deadline passed before its answer came. */
export class LinkTimeoutError extends Error {
    private constructor() {
        super("no answer before the deadline");
        this.name = "LinkTimeoutError";
    }

    public static create(): LinkTimeoutError {
        return new LinkTimeoutError();
    }
}

/** Error of a call whose response did not arrive before its deadline. */
export class LinkTimeoutError extends Error {
    private constructor() {
        super("no response before the deadline");
        this.name = "LinkTimeoutError";
    }

    public static create(): LinkTimeoutError {
        return new LinkTimeoutError();
    }
}

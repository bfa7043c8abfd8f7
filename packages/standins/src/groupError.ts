/** Rejection of a statement or procedure call, with the MySQL error number and message that the client receives. */
export class GroupError extends Error {
    private constructor(public readonly errno: number, message: string) {
        super(message);
        this.name = "GroupError";
    }

    public static create(errno: number, message: string): GroupError {
        return new GroupError(errno, message);
    }
}

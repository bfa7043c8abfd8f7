/** The error that joining a cancelled task throws, and with which the promise of a cancelled task rejects. */
export class TaskCancelledError extends Error {
    private constructor() {
        super("task was cancelled");
        this.name = "TaskCancelledError";
    }

    public static create(): TaskCancelledError {
        return new TaskCancelledError();
    }
}

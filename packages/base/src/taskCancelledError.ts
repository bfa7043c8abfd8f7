/** Thrown into an operation that joins a task which was cancelled. */
export class TaskCancelledError extends Error {
    private constructor() {
        super("task was cancelled");
        this.name = "TaskCancelledError";
    }

    public static create(): TaskCancelledError {
        return new TaskCancelledError();
    }
}

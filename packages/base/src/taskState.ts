/** The states of a task. Succeeded, Failed and Cancelled are final. */
export enum TaskState {
    Running,
    Cancelling,
    Succeeded,
    Failed,
    Cancelled,
}

/** What a VM may use, and time limits for its callers. */
export interface ResourceSettings {
    /** Memory of the VM in megabytes; undefined if it is not limited. */
    readonly memoryMb?: number | undefined;
    /** Descriptors that the process may open; undefined if they are not limited. */
    readonly maxDescriptors?: number | undefined;
    readonly loginTimeoutMs: number;
    readonly messageTimeoutMs: number;
    readonly responseTimeoutMs: number;
}

/** An item of the configuration, such as a class of work, as the administration API returns it. */
export interface ConfigurationItem {
    readonly name: string;
    /** Id of the change that last wrote the item. A later change passes it as `expectedChangeId` to detect a conflicting change. */
    readonly changeId: string;
    readonly value: unknown;
}

/** An entry of the configuration as operators see it. */
export interface ConfigurationItem {
    readonly name: string;
    /** Change that wrote the entry last; a later change names it to detect that another one came first. */
    readonly changeId: string;
    readonly value: unknown;
}

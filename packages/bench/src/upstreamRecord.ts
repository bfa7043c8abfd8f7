/** One log entry as `GET /record` of a `vr-group` returns it. */
interface RecordedEntry {
    readonly term: number;
    readonly position: number;
    readonly requestId?: string;
    readonly cancelled?: boolean;
    readonly statements: readonly string[];
    readonly transaction?: string;
}

/** What one upstream executed. */
export interface UpstreamRecord {
    readonly upstream: string;
    readonly isPrimary: boolean;
    readonly acceptedTerm: number;
    readonly counts: Readonly<Record<string, number>>;
    /** The upstream's log from position 1. */
    readonly log: readonly RecordedEntry[];
    /** Entries that the upstream executed and discarded when it followed a new primary. */
    readonly discarded: readonly RecordedEntry[];
    readonly executions: readonly {
        readonly kind: string;
        readonly connection: number;
        readonly transaction?: string;
        readonly requestId?: string;
        readonly sql: string;
        readonly role: string;
        readonly at: string;
    }[];
}

import { PreparedStatement } from "../entry/preparedStatement";

/** A statement that a fake upstream ran, with what its connection held at the time. */
export interface FakeExecution {
    readonly upstreamId: string;
    /** Name to which the connection belongs. */
    readonly user: string | undefined;
    readonly id: string;
    /** The statement as the upstream received it. */
    readonly text: string;
    /** Definition of the prepared statement that was executed; undefined for other statements. */
    readonly prepared: PreparedStatement | undefined;
    /** Session values of the connection. */
    readonly values: ReadonlyMap<string, string>;
    /** Identifies the transaction in which the statement ran; undefined outside of transactions. */
    readonly transaction: string | undefined;
    readonly rows: readonly string[];
}

import { Clock } from "@vanillarouter/base/clock";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { sleep } from "@vanillarouter/base/sleep";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { AuditEdit } from "@vanillarouter/platform/auditEdit";
import { AuditRecord } from "@vanillarouter/platform/auditRecord";
import { configurationKeys } from "@vanillarouter/platform/configurationKeys";
import { ConfigurationShard } from "@vanillarouter/platform/configurationShard";
import { createChangeId } from "@vanillarouter/platform/createChangeId";
import { formatShard } from "@vanillarouter/platform/formatShard";
import { getShardSection } from "@vanillarouter/platform/getShardSection";
import { KeyValueStore } from "@vanillarouter/platform/keyValueStore";
import { parseShardEntry } from "@vanillarouter/platform/parseShardEntry";
import { Err, Ok, Result } from "ts-results";

interface StoreRepairOptions {
    /** Author of the audit records. */
    readonly vmId: string;
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Milliseconds since the Unix epoch, for audit records and change ids. */
    readonly readWallTime: () => number;
    /** Returns a shard as this VM has it in force. */
    readonly findKnownShard: (name: string) => ConfigurationShard | undefined;
    readonly onRepaired: (shard: ConfigurationShard, changeId: string) => void;
    /** Called when the store holds a change that was made after those in force, by a VM that did not know them. Nothing is written then. */
    readonly onConflict: (stored: ConfigurationShard, known: ConfigurationShard) => void;
    readonly onFailure: (shard: string, cause: Failure | string) => void;
}

const callTimeoutMs = 1_500;
/** The VMs that notice an outdated shard write at random moments within this time, so that one of them usually spares the others the write. */
const maxDelayMs = 2_000;
/** After a failed attempt the time is doubled, up to this one. */
const maxRetryDelayMs = 60_000;

/**
 * Writes shards back to a store that has come back from a backup without their latest states, so that the confirmed changes in them last.
 * The audit trail gets a record of what was written back, because the store has lost the records of the changes, too.
 */
export class StoreRepair {
    private readonly tasks: TaskGroup;
    private readonly scheduled = new Set<string>();

    private constructor(private readonly options: StoreRepairOptions) {
        this.tasks = TaskGroup.create(err => options.onFailure("", String(err)));
    }

    public static create(options: StoreRepairOptions): StoreRepair {
        return new StoreRepair(options);
    }

    /** Writes a shard back after a short delay, unless the store has a current state of it by then. */
    public schedule(name: string): void {
        if (this.scheduled.has(name)) return;
        this.scheduled.add(name);
        this.tasks.start(this.repairUntilCurrent(name));
    }

    /** Cancels repairs in progress. */
    public close(): Operation<void> {
        return this.tasks.cancelAll();
    }

    private *repairUntilCurrent(name: string): Operation<void> {
        const { clock, random } = this.options;
        let delayMs = maxDelayMs;
        try {
            for (;;) {
                yield* sleep(clock, delayMs * random.next());
                const repaired = yield* this.repair(name);
                if (repaired.ok && repaired.val) return;
                if (repaired.err) this.options.onFailure(name, repaired.val);
                delayMs = Math.min(maxRetryDelayMs, delayMs * 2);
            }
        }
        finally {
            this.scheduled.delete(name);
        }
    }

    /** Writes the shard that is in force if the store holds an earlier state. Returns whether the store needs no further repair of it. */
    private *repair(name: string): Operation<Result<boolean, Failure>> {
        const { store } = this.options;
        const key = configurationKeys.formatShardKey(name);
        const entry = yield* store.read(key, callTimeoutMs);
        if (entry.err) return entry;
        const stored = parseShardEntry(name, entry.val);
        if (stored.err) return stored;
        const known = this.options.findKnownShard(name);
        if (known === undefined || stored.val.version >= known.version) return Ok(true);
        if (stored.val.changeId > known.changeId) {
            this.options.onConflict(stored.val, known);
            return Ok(true);
        }
        const record = this.createRecord(stored.val, known);
        const written = yield* store.commit([
            { kind: "cas", key, version: entry.val?.version ?? 0, value: formatShard(known) },
            { kind: "create", key: configurationKeys.formatAuditKey(record.changeId), value: JSON.stringify(record) },
        ], callTimeoutMs);
        if (written.err) return Err(written.val);
        if (written.val.committed) this.options.onRepaired(known, record.changeId);
        return Ok(written.val.committed);
    }

    private createRecord(stored: ConfigurationShard, known: ConfigurationShard): AuditRecord {
        const { random, readWallTime, vmId } = this.options;
        const wallTime = readWallTime();
        return {
            changeId: createChangeId(wallTime, random),
            author: vmId,
            time: new Date(wallTime).toISOString(),
            outcome: "applied",
            edits: listDifferences(stored, known),
        };
    }
}

function listDifferences(before: ConfigurationShard, after: ConfigurationShard): readonly AuditEdit[] {
    const section = getShardSection(after.name);
    const names = [...new Set([...before.items.keys(), ...after.items.keys()])];
    return names
        .filter(name => before.items.get(name)?.changeId !== after.items.get(name)?.changeId)
        .map(name => ({ section, name, before: before.items.get(name)?.value, after: after.items.get(name)?.value }));
}

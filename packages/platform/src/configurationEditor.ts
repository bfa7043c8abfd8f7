import { Clock } from "@vanillarouter/base/clock";
import { createFailure } from "@vanillarouter/base/createFailure";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RandomSource } from "@vanillarouter/base/randomSource";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { sleep } from "@vanillarouter/base/sleep";
import { Err, Ok, Result } from "ts-results";
import { applyEdits } from "./applyEdits";
import { AuditRecord } from "./auditRecord";
import { checkItem } from "./checkItem";
import { checkReferences } from "./checkReferences";
import { CommitOutcome } from "./commitOutcome";
import { ConfigurationChange } from "./configurationChange";
import { ConfigurationConflict } from "./configurationConflict";
import { ConfigurationEdit } from "./configurationEdit";
import { configurationKeys } from "./configurationKeys";
import { ConfigurationReceipt } from "./configurationReceipt";
import { ConfigurationSection } from "./configurationSection";
import { ConfigurationShard } from "./configurationShard";
import { createChangeId } from "./createChangeId";
import { Diagnostics } from "./diagnostics";
import { formatShard } from "./formatShard";
import { getShardName } from "./getShardName";
import { KeyValueStore } from "./keyValueStore";
import { parseAuditRecord } from "./parseAuditRecord";
import { parseShardEntry } from "./parseShardEntry";
import { shardNames } from "./shardNames";
import { StoredShard } from "./storedShard";
import { StoreEntry } from "./storeEntry";
import { StoreWrite } from "./storeWrite";

interface EditorOptions {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Milliseconds since the Unix epoch, for audit records and change ids. */
    readonly readWallTime: () => number;
    /** Returns a shard as this VM has it in force; undefined if it has none. */
    readonly findKnownShard: (name: string) => ConfigurationShard | undefined;
}

type ShardMap = ReadonlyMap<string, StoredShard>;

const defaultTimeoutMs = 5_000;
const callTimeoutMs = 1_500;
const retryDelayMs = 100;
const maxDocumentBytes = 1_048_576;
const maxRecordsPerDay = 64;

/**
 * Changes the configuration. A change is one store transaction: compare-and-swap of the edited shards and creation of
 * the audit record under the change id. A transaction whose response was lost can safely be repeated: either the first
 * attempt took effect, so that the versions no longer match and the audit record exists, or it never takes effect.
 */
export class ConfigurationEditor {
    private constructor(private readonly options: EditorOptions) {}

    public static create(options: EditorOptions): ConfigurationEditor {
        return new ConfigurationEditor(options);
    }

    /**
     * Applies a change. Fails with `configurationConflict` if an edited item differs from the one that the operator saw, and with
     * `changeOutcomeUnknown` if it cannot be determined in time whether the change took effect.
     */
    public *apply(change: ConfigurationChange): Operation<Result<ConfigurationReceipt, Failure>> {
        if (change.edits.length === 0) return Err(createFailure(Diagnostics.emptyChange, RunOutcome.DidNotRun));
        const faults = change.edits.flatMap(edit => edit.value === undefined ? [] : checkItem(edit.section, edit.name, edit.value));
        if (faults.length > 0) return Err(createFailure(Diagnostics.configurationInvalid, RunOutcome.DidNotRun, faults.length, faults.join("; ")));
        const changeId = createChangeId(this.options.readWallTime(), this.options.random);
        const deadline = this.options.clock.now() + (change.timeoutMs ?? defaultTimeoutMs);
        let edits = change.edits;
        for (;;) {
            const shards = yield* this.loadShards(edits);
            if (shards.err) return shards;
            const conflicts = yield* this.findConflicts(shards.val, edits);
            if (conflicts !== undefined) return Err(conflicts);
            edits = edits.map(edit => ({ ...edit, expectedChangeId: findItem(shards.val, edit)?.changeId ?? "" }));
            const writes = this.createWrites(shards.val, edits, change.author, changeId);
            if (writes.err) return writes;
            const outcome = yield* this.commit(writes.val, changeId, deadline);
            if (outcome.err) return outcome;
            if (outcome.val.committed) return Ok({ changeId, versions: collectVersions(outcome.val, shards.val, edits) });
            if (this.options.clock.now() >= deadline) {
                return Err(createFailure(Diagnostics.storeUnreachable, RunOutcome.DidNotRun, "change", "too many conflicts"));
            }
        }
    }

    /** Reads at most `limit` audit records, newest first. Of each day, only the newest `maxRecordsPerDay` are read. */
    public *readHistory(limit: number): Operation<Result<readonly AuditRecord[], Failure>> {
        const store = this.options.store;
        const days = yield* store.listKeys(configurationKeys.auditPrefix, "/", callTimeoutMs);
        if (days.err) return days;
        const records: AuditRecord[] = [];
        for (const day of [...days.val].reverse()) {
            const keys = yield* store.listKeys(day, undefined, callTimeoutMs);
            if (keys.err) return keys;
            const newestKeys = [...keys.val].reverse().slice(0, Math.min(maxRecordsPerDay, limit - records.length));
            const entries = yield* store.readAll(newestKeys, callTimeoutMs);
            if (entries.err) return entries;
            records.push(...entries.val.map(entry => parseAuditRecord(entry.value)).filter(record => record !== undefined));
            if (records.length >= limit) break;
        }
        return Ok(records);
    }

    /** Reads the audit record of one change; undefined if the change did not take effect. */
    public *readChange(changeId: string): Operation<Result<AuditRecord | undefined, Failure>> {
        const entry = yield* this.options.store.read(configurationKeys.formatAuditKey(changeId), callTimeoutMs);
        if (entry.err) return entry;
        return Ok(entry.val === undefined ? undefined : parseAuditRecord(entry.val.value));
    }

    private *loadShards(edits: readonly ConfigurationEdit[]): Operation<Result<ShardMap, Failure>> {
        const names = new Set(edits.map(edit => getShardName(edit.section, edit.name)));
        // Shards that checkReferences compares are read too, and the transaction verifies that they have not changed.
        if (edits.some(edit => edit.section !== ConfigurationSection.Groups)) names.add("classes").add("accounts");
        if (edits.some(edit => edit.section === ConfigurationSection.Groups)) {
            for (const name of shardNames) names.add(name);
        }
        const shards = new Map<string, StoredShard>();
        for (const name of names) {
            const entry = yield* this.options.store.read(configurationKeys.formatShardKey(name), callTimeoutMs);
            if (entry.err) return entry;
            const shard = this.parseStoredShard(name, entry.val);
            if (shard.err) return shard;
            shards.set(name, shard.val);
        }
        return Ok(shards);
    }

    /** Returns the state of a shard that a change starts from: the store's, unless the store has lost a later one that is in force on this VM. */
    private parseStoredShard(name: string, entry: StoreEntry | undefined): Result<StoredShard, Failure> {
        const known = this.options.findKnownShard(name);
        return parseShardEntry(name, entry).map(stored => {
            const latest = known !== undefined && known.version > stored.version ? known : stored;
            return { ...latest, modifyIndex: entry?.version ?? 0 };
        });
    }

    private *findConflicts(shards: ShardMap, edits: readonly ConfigurationEdit[]): Operation<Failure | undefined> {
        const conflicts: ConfigurationConflict[] = [];
        for (const edit of edits) {
            const item = findItem(shards, edit);
            const currentChangeId = item?.changeId ?? "";
            if (edit.expectedChangeId === undefined || edit.expectedChangeId === currentChangeId) continue;
            const latestChangeId = currentChangeId === "" ? shards.get(getShardName(edit.section, edit.name))!.changeId : currentChangeId;
            const change = latestChangeId === "" ? Ok(undefined) : yield* this.readChange(latestChangeId);
            conflicts.push({
                section: edit.section,
                name: edit.name,
                expectedChangeId: edit.expectedChangeId,
                currentChangeId,
                currentValue: item?.value,
                change: change.ok ? change.val : undefined,
            });
        }
        if (conflicts.length === 0) return undefined;
        const names = conflicts.map(conflict => `${conflict.section}.${conflict.name}`).join(", ");
        return { ...createFailure(Diagnostics.configurationConflict, RunOutcome.DidNotRun, names), details: conflicts };
    }

    private createWrites(shards: ShardMap, edits: readonly ConfigurationEdit[], author: string, changeId: string): Result<readonly StoreWrite[], Failure> {
        const edited = applyEdits(shards, edits, changeId);
        const failure = checkReferences(new Map([...shards, ...edited]));
        if (failure !== undefined) return Err(failure);
        const writes: StoreWrite[] = [];
        for (const [name, shard] of shards) {
            const key = configurationKeys.formatShardKey(name);
            const editedShard = edited.get(name);
            if (editedShard === undefined) writes.push({ kind: "check", key, version: shard.modifyIndex });
            else writes.push({ kind: "cas", key, version: shard.modifyIndex, value: formatShard({ ...editedShard, version: shard.version + 1 }) });
        }
        const record: AuditRecord = {
            changeId,
            author,
            time: new Date(this.options.readWallTime()).toISOString(),
            outcome: "applied",
            edits: edits.map(edit => ({ section: edit.section, name: edit.name, before: findItem(shards, edit)?.value, after: edit.value })),
        };
        writes.push({ kind: "create", key: configurationKeys.formatAuditKey(changeId), value: JSON.stringify(record) });
        const oversized = writes.find(write => Buffer.byteLength(write.value ?? "") > maxDocumentBytes);
        if (oversized === undefined) return Ok(writes);
        return Err(createFailure(Diagnostics.shardTooLarge, RunOutcome.DidNotRun, oversized.key, Buffer.byteLength(oversized.value ?? ""), maxDocumentBytes));
    }

    private *commit(writes: readonly StoreWrite[], changeId: string, deadline: number): Operation<Result<CommitOutcome, Failure>> {
        let isRetry = false;
        for (;;) {
            const outcome = yield* this.options.store.commit(writes, callTimeoutMs);
            if (outcome.ok && (outcome.val.committed || !isRetry)) return outcome;
            if (outcome.err && outcome.val.outcome !== RunOutcome.Unknown && !isRetry) return outcome;
            isRetry = true;
            const change = yield* this.readChange(changeId);
            if (change.ok && change.val !== undefined) return Ok({ committed: true, versions: new Map() });
            if (outcome.ok && change.ok) return outcome;
            if (this.options.clock.now() + retryDelayMs >= deadline) {
                const cause = outcome.err ? outcome.val.message : "the audit trail cannot be read";
                return Err({ ...createFailure(Diagnostics.changeOutcomeUnknown, RunOutcome.Unknown, changeId, cause), details: { changeId } });
            }
            yield* sleep(this.options.clock, retryDelayMs);
        }
    }
}

function findItem(shards: ShardMap, edit: ConfigurationEdit): { readonly changeId: string; readonly value: unknown; } | undefined {
    return shards.get(getShardName(edit.section, edit.name))?.items.get(edit.name);
}

/** Returns the versions that a commit gave to the changed shards. */
function collectVersions(outcome: CommitOutcome, shards: ShardMap, edits: readonly ConfigurationEdit[]): ReadonlyMap<string, number> {
    const versions = new Map<string, number>();
    for (const name of new Set(edits.map(edit => getShardName(edit.section, edit.name)))) {
        const modifyIndex = outcome.versions.get(configurationKeys.formatShardKey(name));
        if (modifyIndex !== undefined) versions.set(name, Math.max(modifyIndex, shards.get(name)!.version + 1));
    }
    return versions;
}

import { ExecutionRecord } from "./executionRecord";
import { GroupFaults } from "./groupFaults";
import { GroupMember } from "./groupMember";
import { GroupOptions } from "./groupOptions";
import { GroupTables } from "./groupTables";
import { Replication } from "./replication";
import { SlotPool } from "./slotPool";

/** Quantity of every item in `stock` at the start. */
const initialQuantity = 1_000_000;

/** A stand-in for one upstream of a database group, with its injected faults and its execution record. */
export class GroupUpstream {
    public readonly member: GroupMember;
    public readonly replication: Replication;
    public readonly slots: SlotPool;
    public readonly record = ExecutionRecord.create();
    private currentFaults: GroupFaults;

    private constructor(public readonly options: GroupOptions) {
        this.member = GroupMember.create(options.id, GroupTables.create(options.items, initialQuantity), options.applyLagMs);
        this.replication = Replication.create(this.member);
        this.slots = SlotPool.create(options.slots);
        this.currentFaults = {
            applyLagMs: options.applyLagMs,
            statementMs: options.statementMs,
            isolatedFromPeers: false,
            isolatedFromClients: false,
            loseReplies: 0,
            leaving: false,
        };
        if (options.primary !== undefined) this.startInFirstTerm(options.primary);
    }

    public static create(options: GroupOptions): GroupUpstream {
        return new GroupUpstream(options);
    }

    public get faults(): GroupFaults {
        return this.currentFaults;
    }

    public setFaults(changes: Partial<GroupFaults>): void {
        this.currentFaults = { ...this.currentFaults, ...changes };
        this.member.setApplyLag(this.currentFaults.applyLagMs);
        this.replication.setIsolated(this.currentFaults.isolatedFromPeers);
    }

    /** Returns whether the response to the write that was just executed must be dropped, and if so decrements `loseReplies`. */
    public consumeLostResponse(): boolean {
        if (this.currentFaults.loseReplies <= 0) return false;
        this.currentFaults = { ...this.currentFaults, loseReplies: this.currentFaults.loseReplies - 1 };
        return true;
    }

    private startInFirstTerm(primary: string): void {
        this.member.acceptTerm(1);
        if (primary === this.options.id) this.member.promote(1);
        else this.member.follow(1, primary);
    }
}

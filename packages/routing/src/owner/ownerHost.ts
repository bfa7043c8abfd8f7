import { createFailure } from "@vanillarouter/base/createFailure";
import { DatabaseGroup } from "@vanillarouter/base/databaseGroup";
import { Failure } from "@vanillarouter/base/failure";
import { Operation } from "@vanillarouter/base/operation";
import { RunOutcome } from "@vanillarouter/base/runOutcome";
import { StatementResult } from "@vanillarouter/base/statementResult";
import { TaskGroup } from "@vanillarouter/base/taskGroup";
import { MeasuredShares } from "@vanillarouter/scheduling/measuredShares";
import { Err, Result } from "ts-results";
import { Diagnostics } from "../diagnostics";
import { OutcomeRequest } from "../entry/outcomeRequest";
import { TransactionEndRequest } from "../entry/transactionEndRequest";
import { TransactionStatement } from "../entry/transactionStatement";
import { ConfirmedPosition } from "../freshness/confirmedPosition";
import { OwnerHostSettings } from "./ownerHostSettings";
import { OwnerLink } from "./ownerLink";
import { OwnerRequest } from "./ownerRequest";
import { OwnerResponse } from "./ownerResponse";
import { TransactionRequest } from "./transactionRequest";
import { UpstreamOwner } from "./upstreamOwner";

/**
 * Hosts the owners of the upstreams that one VM owns. Starts and drains owners as roles move between VMs, and refuses work
 * for other upstreams.
 */
export class OwnerHost implements OwnerLink {
    private readonly owners = new Map<string, UpstreamOwner>();
    /** Owners that are finishing work in flight after the role has moved to another VM. */
    private readonly draining = new Set<UpstreamOwner>();
    /** Newest known ordinary shares of each upstream, with the time on this VM's clock at which they were measured. */
    private readonly sharesByUpstream = new Map<string, { readonly shares: MeasuredShares; readonly measuredAt: number; }>();
    private readonly tasks: TaskGroup;
    private ownedIds: ReadonlySet<string> = new Set();
    private isWatching = false;

    private constructor(private readonly settings: OwnerHostSettings) {
        this.tasks = TaskGroup.create(err => settings.logger?.error({ err }, "owner failed"));
    }

    public static create(settings: OwnerHostSettings): OwnerHost {
        return new OwnerHost(settings);
    }

    /** Ids of the upstreams that this VM currently owns. */
    public get owned(): readonly string[] {
        return [...this.owners.keys()];
    }

    /**
     * Sets the ids of the upstreams that this VM owns. Returns immediately; owners that lost their role drain in the
     * background.
     */
    public setOwned(upstreams: readonly string[]): void {
        this.ownedIds = new Set(upstreams);
        this.updateOwners();
        if (this.isWatching) return;
        this.isWatching = true;
        this.tasks.start(this.watchConfiguration());
    }

    /** Imports ordinary shares that other VMs measured, for the owners on this VM and for those started later. */
    public importShares(measured: readonly MeasuredShares[]): void {
        for (const shares of measured) {
            if (this.storeShares(shares)) this.owners.get(shares.upstream)?.importShares(shares);
        }
    }

    /** Ordinary shares measured by the owners on this VM. */
    public exportShares(): readonly MeasuredShares[] {
        return [...this.owners.values()].map(owner => owner.exportShares()).filter(shares => Object.keys(shares.slotTimeByClass).length > 0);
    }

    /** Rolls back the open transactions of an entry VM that has failed or left. */
    public rollBackTransactionsOf(entryVm: string): void {
        for (const owner of [...this.owners.values(), ...this.draining]) owner.rollBackTransactionsOf(entryVm);
    }

    /** Gives up all owner roles and waits until work in flight has finished. */
    public *drain(): Operation<void> {
        this.setOwned([]);
        for (const owner of [...this.draining]) yield* owner.drain();
    }

    /** Stops all owners immediately, interrupting work in flight. */
    public *close(): Operation<void> {
        yield* this.tasks.cancelAll();
        this.owners.clear();
        this.draining.clear();
    }

    public *execute(req: OwnerRequest): Operation<Result<OwnerResponse, Failure>> {
        return yield* this.owners.get(req.upstream)?.execute(req) ?? this.refuse<OwnerResponse>(req.upstream);
    }

    public *begin(req: TransactionRequest): Operation<Result<void, Failure>> {
        return yield* this.owners.get(req.upstream)?.begin(req) ?? this.refuse<void>(req.upstream);
    }

    public *executeInTransaction(req: TransactionStatement): Operation<Result<StatementResult, Failure>> {
        return yield* this.findTransactionOwner(req.upstream, req.transactionId)?.executeInTransaction(req) ?? this.refuse<StatementResult>(req.upstream);
    }

    public *endTransaction(req: TransactionEndRequest): Operation<Result<OwnerResponse, Failure>> {
        const owner = this.findTransactionOwner(req.upstream, req.transactionId);
        // A previous owner that has since drained may have executed the commit, so its outcome is unknown here.
        return yield* owner?.endTransaction(req) ?? this.refuse<OwnerResponse>(req.upstream, req.commit ? RunOutcome.Unknown : RunOutcome.DidNotRun);
    }

    public *resolveOutcome(req: OutcomeRequest): Operation<Result<OwnerResponse, Failure>> {
        return yield* this.owners.get(req.upstream)?.resolveOutcome(req) ?? this.refuse<OwnerResponse>(req.upstream, RunOutcome.Unknown);
    }

    public *confirmPosition(group: string, upstream: string, timeoutMs: number): Operation<Result<ConfirmedPosition, Failure>> {
        return yield* this.owners.get(upstream)?.confirmPosition(group, upstream, timeoutMs) ?? this.refuse<ConfirmedPosition>(upstream);
    }

    private *refuse<T>(upstream: string, outcome = RunOutcome.DidNotRun): Operation<Result<T, Failure>> {
        return Err(createFailure(Diagnostics.ownerChanged, outcome, upstream));
    }

    /** A transaction stays with the owner that began it, even while that owner drains. */
    private findTransactionOwner(upstream: string, transactionId: string): UpstreamOwner | undefined {
        const drainingOwners = [...this.draining].filter(owner => owner.upstream === upstream && owner.hasTransaction(transactionId));
        return drainingOwners[0] ?? this.owners.get(upstream);
    }

    private startOwner(id: string): void {
        const group = this.findGroup(id);
        const upstream = group?.upstreams.find(other => other.id === id);
        if (group === undefined || upstream === undefined) return;
        const owner = UpstreamOwner.create({ ...this.settings, group, upstream, initialShares: this.sharesByUpstream.get(id)?.shares });
        this.owners.set(id, owner);
        this.tasks.start(owner.run());
        this.settings.logger?.info({ upstream: id, group: group.name }, "owner started");
    }

    private updateOwners(): void {
        for (const [id, owner] of this.owners) {
            if (!this.ownedIds.has(id) || !this.hasCurrentSettings(id, owner)) this.drainOwner(id, owner);
        }
        for (const id of this.ownedIds) {
            if (!this.owners.has(id)) this.startOwner(id);
        }
    }

    /** An owner keeps the settings it was started with, so it is replaced when the upstreams of its group change. */
    private hasCurrentSettings(id: string, owner: UpstreamOwner): boolean {
        const group = this.findGroup(id);
        return group !== undefined && JSON.stringify(group.upstreams) === JSON.stringify(owner.group.upstreams);
    }

    private *watchConfiguration(): Operation<void> {
        for (;;) {
            yield* this.settings.configuration.changed.wait();
            this.updateOwners();
        }
    }

    /** Stores the shares of an upstream; returns false if newer ones are already stored. */
    private storeShares(shares: MeasuredShares): boolean {
        const measuredAt = this.settings.clock.now() - shares.ageMs;
        const known = this.sharesByUpstream.get(shares.upstream);
        if (known !== undefined && known.measuredAt > measuredAt) return false;
        this.sharesByUpstream.set(shares.upstream, { shares, measuredAt });
        return true;
    }

    private drainOwner(id: string, owner: UpstreamOwner): void {
        this.owners.delete(id);
        this.storeShares(owner.exportShares());
        this.draining.add(owner);
        this.tasks.start(this.finishOwner(id, owner));
    }

    private *finishOwner(id: string, owner: UpstreamOwner): Operation<void> {
        yield* owner.drain();
        this.draining.delete(owner);
        this.settings.logger?.info({ upstream: id }, "owner drained");
    }

    private findGroup(upstream: string): DatabaseGroup | undefined {
        for (const group of this.settings.configuration.current?.groups.values() ?? []) {
            if (group.upstreams.some(other => other.id === upstream)) return group;
        }
        return undefined;
    }
}

import { ManualClock } from "@vanillarouter/base/manualClock";
import { SeededRandom } from "@vanillarouter/base/seededRandom";
import { FailureHistory } from "../failureHistory";
import { OthersLoad } from "../othersLoad";
import { UpstreamCandidate } from "../upstreamCandidate";
import { UpstreamChooser } from "../upstreamChooser";
import { LoadReplayResult } from "./loadReplayResult";
import { LoadScenario } from "./loadScenario";

const slots = 4;
const serviceTimesMs = [5, 14, 26];
const writeMs = 5;
const dialMs = 12;
const failureMs = 30;
const responseWeight = 0.2;
const responseHalfLifeMs = 700;
const sampleIntervalMs = 5;
const slowFactor = 7.5;
const swing = 0.55;
const swingPeriodMs = 5_000;
const primaryPenalty = 0.6;
const otherZonePenalty = 0.15;

interface Upstream {
    readonly index: number;
    readonly queue: (() => void)[];
    running: number;
    isDown: boolean;
}

interface View {
    inFlight: number;
    running: number;
    connections: number;
    responseMs: number;
    respondedAt: number;
    consecutiveFailures: number;
    readonly others: OthersLoad;
    readonly failures: FailureHistory;
}

/** Replays reads of several choosers on upstreams of 4 slots with queues in order of arrival. */
export class LoadReplay {
    private readonly clock = ManualClock.create();
    /** Decides arrivals and service times, which have to be the same for all rules. */
    private readonly random: SeededRandom;
    private readonly failureRandom: SeededRandom;
    private readonly upstreams: readonly Upstream[];
    private readonly choosers: readonly { readonly chooser: UpstreamChooser; readonly views: readonly View[]; }[];
    private readonly waits: number[] = [];
    private readonly returnWaits: number[] = [];
    private readonly writeWaits: number[] = [];
    private spreadSum = 0;
    private wastedSamples = 0;
    private samples = 0;
    private failedAttempts = 0;

    private constructor(private readonly scenario: LoadScenario, createChooser: (random: SeededRandom) => UpstreamChooser, seed: number) {
        this.random = SeededRandom.create(seed);
        this.failureRandom = SeededRandom.create(seed + 500);
        const indices = Array.from({ length: scenario.upstreams }, (_, index) => index);
        this.upstreams = indices.map(index => ({ index, queue: [], running: 0, isDown: false }));
        this.choosers = Array.from({ length: scenario.choosers }, (_, index) => ({
            chooser: createChooser(SeededRandom.create(seed * 1_000 + index)),
            views: indices.map(() => this.createView()),
        }));
    }

    public static create(scenario: LoadScenario, createChooser: (random: SeededRandom) => UpstreamChooser, seed: number): LoadReplay {
        return new LoadReplay(scenario, createChooser, seed);
    }

    /** Replays `durationMs` of load and returns what was measured. */
    public run(durationMs: number): LoadReplayResult {
        const { outage } = this.scenario;
        if (outage !== undefined) {
            this.clock.startTimer(outage.fromMs, () => this.upstreams.at(-1)!.isDown = true);
            this.clock.startTimer(outage.toMs, () => this.upstreams.at(-1)!.isDown = false);
        }
        this.choosers.forEach(({ views }, chooser) => views.forEach((_, index) => this.scheduleNews(chooser, index)));
        this.sample();
        this.choosers.forEach((_, chooser) => this.scheduleArrival(chooser));
        if (this.scenario.isGroup) this.scheduleWrite();
        this.clock.advance(durationMs);
        const waits = [...this.waits].sort((first, second) => first - second);
        const returnWaits = [...this.returnWaits].sort((first, second) => first - second);
        const writeWaits = [...this.writeWaits].sort((first, second) => first - second);
        const at = (sorted: readonly number[], part: number): number => sorted[Math.floor(sorted.length * part)] ?? 0;
        return {
            spread: this.spreadSum / this.samples,
            wastedPart: this.wastedSamples / this.samples,
            p50: at(waits, 0.5),
            p99: at(waits, 0.99),
            p999: at(waits, 0.999),
            returnP99: at(returnWaits, 0.99),
            writeP99: at(writeWaits, 0.99),
            failedAttempts: this.failedAttempts,
        };
    }

    private createView(): View {
        return {
            inFlight: 0,
            running: 0,
            connections: 0,
            responseMs: 0,
            respondedAt: 0,
            consecutiveFailures: 0,
            others: OthersLoad.create(),
            failures: FailureHistory.create(),
        };
    }

    private scheduleArrival(chooser: number): void {
        const { readsPerSecond, choosers, swings } = this.scenario;
        // In the group the choosers' zones are out of phase, as in the feed installation.
        const phase = this.scenario.isGroup ? chooser / choosers : 0;
        const factor = swings ? 1 + swing * Math.sin(2 * Math.PI * (this.clock.now() / swingPeriodMs + phase)) : 1;
        const meanMs = 1_000 * choosers / (readsPerSecond * factor);
        this.clock.startTimer(-Math.log(1 - this.random.next()) * meanMs, () => {
            this.scheduleArrival(chooser);
            this.send(chooser, this.clock.now(), this.pickServiceMs(), new Set());
        });
    }

    /** Writes run on the primary of the group, whatever is chosen for reads. */
    private scheduleWrite(): void {
        const meanMs = 1_000 / this.scenario.writesPerSecond;
        this.clock.startTimer(-Math.log(1 - this.random.next()) * meanMs, () => {
            this.scheduleWrite();
            const view = this.choosers[Math.floor(this.random.next() * this.choosers.length)]!.views[0]!;
            const sentAt = this.clock.now();
            view.inFlight++;
            this.enqueue(this.upstreams[0]!, writeMs, () => {
                view.inFlight--;
                this.writeWaits.push(this.clock.now() - sentAt - writeMs);
            }, () => undefined);
        });
    }

    private pickServiceMs(): number {
        return serviceTimesMs[Math.floor(this.random.next() * serviceTimesMs.length)]!;
    }

    private send(chooserIndex: number, arrivedAt: number, serviceMs: number, tried: ReadonlySet<number>): void {
        const { chooser, views } = this.choosers[chooserIndex]!;
        const chosen = chooser.choose(views.map((view, index) => this.describe(chooserIndex, view, index, tried)))!;
        const index = Number(chosen.id);
        const [view, upstream] = [views[index]!, this.upstreams[index]!];
        const sentAt = this.clock.now();
        view.inFlight++;
        const retry = (): void => {
            this.failedAttempts++;
            view.inFlight--;
            this.send(chooserIndex, arrivedAt, serviceMs, new Set([...tried, index]));
        };
        const lose = (): void => {
            view.connections = 0;
            view.consecutiveFailures++;
            view.failures.recordLostResponse(this.clock.now());
            retry();
        };
        if (upstream.isDown) {
            this.clock.startTimer(failureMs, lose);
            return;
        }
        const isDialed = view.inFlight > view.connections;
        if (isDialed) view.connections = view.inFlight;
        const totalMs = serviceMs * (this.scenario.isLastSlow && index === this.upstreams.length - 1 ? slowFactor : 1) + (isDialed ? dialMs : 0);
        this.enqueue(upstream, totalMs, () => {
            const now = this.clock.now();
            view.consecutiveFailures = 0;
            view.failures.recordResponse(now);
            this.recordResponse(view, now - sentAt);
            const isFailure = index === this.upstreams.length - 1 && this.failureRandom.next() < this.scenario.failingPart;
            view.failures.recordResult(isFailure, now);
            if (isFailure) {
                retry();
                return;
            }
            this.waits.push(now - totalMs - arrivedAt);
            const { outage } = this.scenario;
            if (outage !== undefined && arrivedAt >= outage.toMs && arrivedAt < outage.toMs + 2_000) this.returnWaits.push(now - totalMs - arrivedAt);
            view.inFlight--;
        }, lose);
    }

    private describe(chooserIndex: number, view: View, index: number, tried: ReadonlySet<number>): UpstreamCandidate {
        const now = this.clock.now();
        const isOwnZone = index === chooserIndex % this.upstreams.length;
        const penalty = (isOwnZone ? 0 : otherZonePenalty) + (index === 0 ? primaryPenalty : 0);
        return {
            id: String(index),
            slots,
            ownInFlight: view.inFlight,
            expectedOthersBusy: view.others.estimate(view.inFlight, this.choosers.length, now),
            responseMs: view.responseMs * 0.5 ** ((now - view.respondedAt) / responseHalfLifeMs),
            consecutiveFailures: view.consecutiveFailures,
            failedPart: view.failures.computeFailedPart(now),
            readiness: view.failures.computeReadiness(now),
            preferencePenalty: this.scenario.isGroup ? penalty : 0,
            tier: tried.has(index) ? 1 : 0,
        };
    }

    private recordResponse(view: View, responseMs: number): void {
        const now = this.clock.now();
        const recentMs = view.responseMs * 0.5 ** ((now - view.respondedAt) / responseHalfLifeMs);
        view.responseMs = recentMs === 0 ? responseMs : recentMs + (responseMs - recentMs) * responseWeight;
        view.respondedAt = now;
    }

    private enqueue(upstream: Upstream, serviceMs: number, complete: () => void, lose: () => void): void {
        const start = (): void => {
            upstream.running++;
            this.clock.startTimer(serviceMs, () => {
                upstream.running--;
                if (upstream.isDown) lose();
                else complete();
                upstream.queue.shift()?.();
            });
        };
        if (upstream.running < slots) start();
        else upstream.queue.push(start);
    }

    /** Statuses pass at a fixed interval with a random phase, or all at the same moment. */
    private scheduleNews(chooser: number, index: number): void {
        const { newsIntervalMs, sharesNews } = this.scenario;
        const observe = (): void => {
            const [view, upstream] = [this.choosers[chooser]!.views[index]!, this.upstreams[index]!];
            if (!upstream.isDown) view.others.observe(upstream.running, slots, Math.min(view.inFlight, upstream.running), this.clock.now());
            this.clock.startTimer(newsIntervalMs, observe);
        };
        this.clock.startTimer(sharesNews ? newsIntervalMs : this.random.next() * newsIntervalMs, observe);
    }

    private sample(): void {
        const up = this.upstreams.filter(upstream => !upstream.isDown);
        const counted = this.scenario.isGroup ? up.filter(upstream => upstream.index > 0) : up;
        const busy = counted.map(upstream => upstream.running);
        const mean = busy.reduce((sum, count) => sum + count, 0) / busy.length;
        this.spreadSum += Math.sqrt(busy.reduce((sum, count) => sum + (count - mean) ** 2, 0) / busy.length);
        if (counted.some(upstream => upstream.queue.length > 0) && counted.some(upstream => upstream.running < slots)) this.wastedSamples++;
        this.samples++;
        this.clock.startTimer(sampleIntervalMs, () => this.sample());
    }
}

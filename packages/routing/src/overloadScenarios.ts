import { Rank } from "@vanillarouter/base/rank";
import { ExperimentClass } from "./experimentClass";

/** Time from which a surge is on, in milliseconds. */
const surgeAtMs = 15_000;

const orders: ExperimentClass = { name: "orders", rank: Rank.Urgent, targetMs: 100, meanServiceMs: 4, ordinary: 0.2 };
const reconciliation: ExperimentClass = { name: "reconciliation", rank: Rank.Standard, targetMs: 500, meanServiceMs: 8, ordinary: 0.2 };
const catalogue: ExperimentClass = { name: "catalogue", rank: Rank.Background, targetMs: 1_000, meanServiceMs: 8, ordinary: 0.25 };
const deductions: ExperimentClass = { name: "deductions", rank: Rank.Urgent, targetMs: 100, meanServiceMs: 4, ordinary: 0.2 };
const restocks: ExperimentClass = { name: "restocks", rank: Rank.Urgent, targetMs: 100, meanServiceMs: 5, ordinary: 0.2 };
const counts: ExperimentClass = { name: "counts", rank: Rank.Standard, targetMs: 500, meanServiceMs: 8, ordinary: 0.2 };

const racja: readonly ExperimentClass[] = [orders, reconciliation, catalogue];
const meethi: readonly ExperimentClass[] = [deductions, restocks, counts];

/** Lets one class rise to a multiple of the upstream's capacity. */
function surge(classes: readonly ExperimentClass[], name: string, capacities: number): readonly ExperimentClass[] {
    return classes.map(one => one.name === name ? { ...one, demandAt: timeMs => timeMs < surgeAtMs ? one.ordinary : capacities } : one);
}

function burst(classes: readonly ExperimentClass[], name: string): readonly ExperimentClass[] {
    const demandAt = (timeMs: number): number => timeMs % 10_000 < 40 ? 2 : 0.1;
    return classes.map(one => one.name === name ? { ...one, demandAt } : one);
}

function lengthen(classes: readonly ExperimentClass[], name: string, fraction: number, factor: number): readonly ExperimentClass[] {
    return classes.map(one => one.name === name ? { ...one, longFraction: fraction, longFactor: factor, targetMs: 5_000 } : one);
}

function replace(classes: readonly ExperimentClass[], name: string, change: Partial<ExperimentClass>): readonly ExperimentClass[] {
    return classes.map(one => one.name === name ? { ...one, ...change } : one);
}

const fromStart = (capacities: number): Partial<ExperimentClass> => ({ demandAt: () => capacities });

/** The loads on one upstream that schedulers are measured with, by name: slots and classes. */
export const OverloadScenarios: Readonly<Record<string, { readonly slots: number; readonly classes: readonly ExperimentClass[]; }>> = {
    "racja ordinary": { slots: 5, classes: racja },
    "racja catalogue x3": { slots: 5, classes: surge(racja, "catalogue", 3) },
    "racja catalogue x10": { slots: 5, classes: surge(racja, "catalogue", 10) },
    "racja orders x3": { slots: 5, classes: surge(racja, "orders", 3) },
    "racja orders x10": { slots: 5, classes: surge(racja, "orders", 10) },
    "racja reconciliation x10": { slots: 5, classes: surge(racja, "reconciliation", 10) },
    "racja orders 0.8 and catalogue x10": { slots: 5, classes: surge(surge(racja, "catalogue", 10), "orders", 0.8) },
    "racja orders x10 from the start": { slots: 5, classes: replace(racja, "orders", fromStart(10)) },
    "racja long catalogue x3": { slots: 5, classes: lengthen(surge(racja, "catalogue", 3), "catalogue", 0.05, 40) },
    "racja one franchisee floods": { slots: 5, classes: replace(surge(racja, "catalogue", 3), "catalogue", { floodFactor: 1_000 }) },
    "meethi ordinary": { slots: 2, classes: meethi },
    "meethi counts x3": { slots: 2, classes: surge(meethi, "counts", 3) },
    "meethi counts x10": { slots: 2, classes: surge(meethi, "counts", 10) },
    "meethi restocks x3": { slots: 2, classes: surge(meethi, "restocks", 3) },
    "meethi restocks x10": { slots: 2, classes: surge(meethi, "restocks", 10) },
    "meethi restocks x10 from the start": { slots: 2, classes: replace(meethi, "restocks", fromStart(10)) },
    "meethi restock bursts": { slots: 2, classes: burst(meethi, "restocks") },
    "meethi long counts": { slots: 2, classes: lengthen(meethi, "counts", 0.02, 50) },
};

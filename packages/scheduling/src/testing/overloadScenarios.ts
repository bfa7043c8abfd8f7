import { Rank } from "@vanillarouter/base/rank";
import { ExperimentClass } from "./experimentClass";

/** Time at which a surge begins, in milliseconds. */
const surgeAtMs = 15_000;

const orders: ExperimentClass = { name: "orders", rank: Rank.Urgent, targetMs: 100, meanServiceMs: 4, ordinaryDemand: 0.2 };
const reconciliation: ExperimentClass = { name: "reconciliation", rank: Rank.Standard, targetMs: 500, meanServiceMs: 8, ordinaryDemand: 0.2 };
const catalogue: ExperimentClass = { name: "catalogue", rank: Rank.Background, targetMs: 1_000, meanServiceMs: 8, ordinaryDemand: 0.25 };
const deductions: ExperimentClass = { name: "deductions", rank: Rank.Urgent, targetMs: 100, meanServiceMs: 4, ordinaryDemand: 0.2 };
const restocks: ExperimentClass = { name: "restocks", rank: Rank.Urgent, targetMs: 100, meanServiceMs: 5, ordinaryDemand: 0.2 };
const counts: ExperimentClass = { name: "counts", rank: Rank.Standard, targetMs: 500, meanServiceMs: 8, ordinaryDemand: 0.2 };

const racja: readonly ExperimentClass[] = [orders, reconciliation, catalogue];
const meethi: readonly ExperimentClass[] = [deductions, restocks, counts];

/** Raises the demand of one class to a multiple of the upstream's capacity. */
function surge(classes: readonly ExperimentClass[], name: string, demand: number): readonly ExperimentClass[] {
    return classes.map(workClass =>
        workClass.name === name ? { ...workClass, demandAt: timeMs => timeMs < surgeAtMs ? workClass.ordinaryDemand : demand } : workClass
    );
}

/** Replaces the demand of one class by low demand with a short burst every 10 s. */
function burst(classes: readonly ExperimentClass[], name: string): readonly ExperimentClass[] {
    const demandAt = (timeMs: number): number => timeMs % 10_000 < 40 ? 2 : 0.1;
    return classes.map(workClass => workClass.name === name ? { ...workClass, demandAt } : workClass);
}

function withLongStatements(classes: readonly ExperimentClass[], name: string, fraction: number, factor: number): readonly ExperimentClass[] {
    return classes.map(workClass => workClass.name === name ? { ...workClass, longFraction: fraction, longFactor: factor, targetMs: 5_000 } : workClass);
}

function replace(classes: readonly ExperimentClass[], name: string, change: Partial<ExperimentClass>): readonly ExperimentClass[] {
    return classes.map(workClass => workClass.name === name ? { ...workClass, ...change } : workClass);
}

/** Raises the demand of one class linearly to a multiple of the upstream's capacity, at a rate that reaches it within 30 s. */
function ramp(classes: readonly ExperimentClass[], name: string, demand: number): readonly ExperimentClass[] {
    const demandAt = (timeMs: number, ordinaryDemand: number): number =>
        Math.max(ordinaryDemand, Math.min(demand, demand * (timeMs - surgeAtMs + 5_000) / 30_000));
    return classes.map(workClass => workClass.name === name ? { ...workClass, demandAt: timeMs => demandAt(timeMs, workClass.ordinaryDemand) } : workClass);
}

/** Alternates the demand of one class between its ordinary demand and a multiple of the upstream's capacity. */
function alternate(classes: readonly ExperimentClass[], name: string, demand: number): readonly ExperimentClass[] {
    return classes.map(workClass =>
        workClass.name === name
            ? { ...workClass, demandAt: timeMs => timeMs < surgeAtMs || timeMs % 3_000 < 1_500 ? workClass.ordinaryDemand : demand }
            : workClass
    );
}

/** Lets the demand of one class surge until shortly before the measured period. */
function surgeBefore(classes: readonly ExperimentClass[], name: string, demand: number): readonly ExperimentClass[] {
    const isSurging = (timeMs: number): boolean => timeMs > surgeAtMs - 5_000 && timeMs < surgeAtMs - 2_000;
    return classes.map(workClass =>
        workClass.name === name ? { ...workClass, demandAt: timeMs => isSurging(timeMs) ? demand : workClass.ordinaryDemand } : workClass
    );
}

/** Scales the ordinary demand of all classes. */
function scale(classes: readonly ExperimentClass[], factor: number): readonly ExperimentClass[] {
    return classes.map(workClass => ({ ...workClass, ordinaryDemand: workClass.ordinaryDemand * factor }));
}

/** Starts all classes with a hundredth of their ordinary demand, as in a cluster that is installed at night. */
function quietStart(classes: readonly ExperimentClass[]): readonly ExperimentClass[] {
    return classes.map(workClass => ({
        ...workClass,
        demandAt: timeMs => (timeMs < surgeAtMs - 2_000 ? 0.01 : 1) * (workClass.demandAt?.(timeMs) ?? workClass.ordinaryDemand),
    }));
}

const fromStart = (demand: number): Partial<ExperimentClass> => ({ demandAt: () => demand });

/** The ordinary demand of one class exceeds an equal part of the slot time. */
const uneven = replace(replace(replace(racja, "orders", { ordinaryDemand: 0.1 }), "reconciliation", { ordinaryDemand: 0.5 }), "catalogue", {
    ordinaryDemand: 0.15,
});

/** A primary that executes few, long writes: the class of the lower rank sends ten statements a second. */
const sparse: readonly ExperimentClass[] = [
    { ...orders, targetMs: 300, meanServiceMs: 15, ordinaryDemand: 0.1 },
    { ...reconciliation, targetMs: 1_490, meanServiceMs: 25, ordinaryDemand: 0.05 },
];

/** Load scenarios for one upstream by name, each with the number of slots and the classes of work. */
export const OverloadScenarios: Readonly<Record<string, { readonly slots: number; readonly classes: readonly ExperimentClass[]; }>> = {
    "racja ordinary": { slots: 5, classes: racja },
    "racja catalogue x3": { slots: 5, classes: surge(racja, "catalogue", 3) },
    "racja catalogue x10": { slots: 5, classes: surge(racja, "catalogue", 10) },
    "racja orders x3": { slots: 5, classes: surge(racja, "orders", 3) },
    "racja orders x10": { slots: 5, classes: surge(racja, "orders", 10) },
    "racja reconciliation x10": { slots: 5, classes: surge(racja, "reconciliation", 10) },
    "racja orders 0.8 and catalogue x10": { slots: 5, classes: surge(surge(racja, "catalogue", 10), "orders", 0.8) },
    "racja orders x10 from the start": { slots: 5, classes: replace(racja, "orders", fromStart(10)) },
    "racja long catalogue x3": { slots: 5, classes: withLongStatements(surge(racja, "catalogue", 3), "catalogue", 0.05, 40) },
    "racja one franchisee floods": { slots: 5, classes: replace(surge(racja, "catalogue", 3), "catalogue", { floodFactor: 1_000 }) },
    "racja busy and catalogue x10": { slots: 5, classes: surge(scale(racja, 1.3), "catalogue", 10) },
    "racja busy and orders x10": { slots: 5, classes: surge(scale(racja, 1.3), "orders", 10) },
    "racja orders ramp x10": { slots: 5, classes: ramp(racja, "orders", 10) },
    "racja orders alternate x10": { slots: 5, classes: alternate(racja, "orders", 10) },
    "racja after orders x10": { slots: 5, classes: surgeBefore(racja, "orders", 10) },
    "racja quiet start and orders x10": { slots: 5, classes: surge(quietStart(racja), "orders", 10) },
    "racja slow catalogue x10": { slots: 5, classes: replace(surge(racja, "catalogue", 10), "catalogue", { meanServiceMs: 40 }) },
    "racja uneven and orders x10": { slots: 5, classes: surge(uneven, "orders", 10) },
    "racja uneven and catalogue x10": { slots: 5, classes: surge(uneven, "catalogue", 10) },
    "racja full and orders x10": { slots: 5, classes: surge(replace(racja, "reconciliation", { ordinaryDemand: 0.5 }), "orders", 10) },
    "racja sparse and orders x7": { slots: 5, classes: surge(sparse, "orders", 7) },
    "meethi busy and restocks x10": { slots: 2, classes: surge(scale(meethi, 1.3), "restocks", 10) },
    "meethi restocks alternate x3": { slots: 2, classes: alternate(meethi, "restocks", 3) },
    "meethi after restocks x10": { slots: 2, classes: surgeBefore(meethi, "restocks", 10) },
    "meethi quiet start and restocks x10": { slots: 2, classes: surge(quietStart(meethi), "restocks", 10) },
    "meethi slow counts x10": { slots: 2, classes: replace(surge(meethi, "counts", 10), "counts", { meanServiceMs: 40 }) },
    "meethi short target and counts x10": { slots: 2, classes: replace(surge(meethi, "counts", 10), "deductions", { targetMs: 40 }) },
    "meethi ordinary": { slots: 2, classes: meethi },
    "meethi counts x3": { slots: 2, classes: surge(meethi, "counts", 3) },
    "meethi counts x10": { slots: 2, classes: surge(meethi, "counts", 10) },
    "meethi restocks x3": { slots: 2, classes: surge(meethi, "restocks", 3) },
    "meethi restocks x10": { slots: 2, classes: surge(meethi, "restocks", 10) },
    "meethi restocks x10 from the start": { slots: 2, classes: replace(meethi, "restocks", fromStart(10)) },
    "meethi restock bursts": { slots: 2, classes: burst(meethi, "restocks") },
    "meethi long counts": { slots: 2, classes: withLongStatements(meethi, "counts", 0.02, 50) },
};

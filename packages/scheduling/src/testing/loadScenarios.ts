import { LoadScenario } from "./loadScenario";

/** Six upstreams of 4 slots run 1,600 reads a second of 15 ms in the mean. */
const equalUpstreams = {
    upstreams: 6,
    readsPerSecond: 1_000,
    isGroup: false,
    writesPerSecond: 0,
    sharesNews: true,
    isLastSlow: false,
    failingPart: 0,
    swings: false,
};
/** The two replicas of a group run 533 reads a second; its primary also has writes for a quarter of its slots. */
const group = { ...equalUpstreams, upstreams: 3, choosers: 3, readsPerSecond: 330, isGroup: true, writesPerSecond: 200, sharesNews: false };
const outage = { fromMs: 6_000, toMs: 9_000 };

function createScenarios(): Readonly<Record<string, LoadScenario>> {
    const scenarios: Record<string, LoadScenario> = {};
    for (const newsIntervalMs of [10, 100, 1_000]) {
        for (const choosers of [1, 6, 30]) {
            const scenario = { ...equalUpstreams, choosers, newsIntervalMs };
            scenarios[`equal, ${choosers} choosers, news ${newsIntervalMs} ms`] = { ...scenario, sharesNews: false };
            scenarios[`equal, ${choosers} choosers, same news ${newsIntervalMs} ms`] = scenario;
        }
        scenarios[`group, 3 choosers, news ${newsIntervalMs} ms`] = { ...group, newsIntervalMs };
        scenarios[`group, full, news ${newsIntervalMs} ms`] = { ...group, readsPerSecond: 560, newsIntervalMs };
    }
    for (const newsIntervalMs of [100, 1_000]) {
        const six = { ...equalUpstreams, choosers: 6, newsIntervalMs };
        const three = { ...group, newsIntervalMs };
        scenarios[`equal, slow, news ${newsIntervalMs} ms`] = { ...six, isLastSlow: true };
        scenarios[`equal, outage, news ${newsIntervalMs} ms`] = { ...six, outage };
        scenarios[`equal, swing, news ${newsIntervalMs} ms`] = { ...six, swings: true };
        scenarios[`equal, fails 5%, news ${newsIntervalMs} ms`] = { ...six, failingPart: 0.05 };
        scenarios[`equal, fails 50%, news ${newsIntervalMs} ms`] = { ...six, failingPart: 0.5 };
        scenarios[`group, fails 5%, news ${newsIntervalMs} ms`] = { ...three, failingPart: 0.05 };
        scenarios[`group, fails 50%, news ${newsIntervalMs} ms`] = { ...three, failingPart: 0.5 };
        scenarios[`group, slow, news ${newsIntervalMs} ms`] = { ...three, isLastSlow: true };
        scenarios[`group, outage, news ${newsIntervalMs} ms`] = { ...three, outage };
        scenarios[`group, swing, news ${newsIntervalMs} ms`] = { ...three, swings: true };
    }
    return scenarios;
}

/** The loads by which the rules for choosing an upstream are compared. */
export const LoadScenarios = createScenarios();

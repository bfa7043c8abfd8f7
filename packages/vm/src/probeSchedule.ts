import { RandomSource } from "@vanillarouter/base/randomSource";

/**
 * Returns members in random order, each once per round. This bounds the time until a given member is probed; with
 * independent random picks, some members could remain unprobed for a long time.
 */
export class ProbeSchedule {
    private remaining: string[] = [];

    private constructor(private readonly random: RandomSource) {}

    public static create(random: RandomSource): ProbeSchedule {
        return new ProbeSchedule(random);
    }

    /** Returns the next member to probe; undefined if there are none. */
    public next(isMember: (id: string) => boolean, listMembers: () => readonly string[]): string | undefined {
        for (let round = 0; round < 2; round++) {
            for (let id = this.remaining.pop(); id !== undefined; id = this.remaining.pop()) {
                if (isMember(id)) return id;
            }
            this.remaining = this.shuffle(listMembers());
        }
        return undefined;
    }

    private shuffle(ids: readonly string[]): string[] {
        const order = [...ids];
        for (let index = order.length - 1; index > 0; index--) {
            const other = Math.floor(this.random.next() * (index + 1));
            [order[index], order[other]] = [order[other]!, order[index]!];
        }
        return order;
    }
}

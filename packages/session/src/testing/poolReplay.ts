import { Operation } from "@vanillarouter/base/operation";
import { sleep } from "@vanillarouter/base/sleep";
import { Task } from "@vanillarouter/base/task";
import { TestBed } from "./testBed";

/** Time of a slot that opening a connection takes. */
const openingMs = 12;

/** Plays operations of tenants on the pool of one upstream. */
export class PoolReplay {
    /** Number of operations that ran. */
    public served = 0;
    /** Highest number of connections that were open at once. */
    public maxConnections = 0;
    private readonly bed = TestBed.create();
    private readonly pool;

    private constructor(tenants: readonly string[], limit: number) {
        this.bed.dialer.dialMs = openingMs;
        this.bed.useTenants(tenants, limit);
        this.pool = this.bed.pools.find("u1")!;
    }

    /** Creates a replay whose pool may hold `limit` connections. */
    public static create(tenants: readonly string[], limit: number): PoolReplay {
        return new PoolReplay(tenants, limit);
    }

    /** Connections opened so far. */
    public get opened(): number {
        return this.bed.dialer.dialCount;
    }

    /** Starts an operation that holds its connection for `holdMs`. `onEnded` is called when it ends or is refused. */
    public start(tenant: string, holdMs: number, onEnded: () => void = () => {}): void {
        Task.start(this.play(tenant, holdMs)).onSettled(onEnded);
    }

    public advance(ms: number): void {
        this.bed.clock.advance(ms);
        this.maxConnections = Math.max(this.maxConnections, this.bed.fakeGroup.find("u1").sessions.size);
    }

    private *play(tenant: string, holdMs: number): Operation<void> {
        const { pool, bed } = this;
        const ran = yield* pool.run(bed.createSlotRequest(tenant), function*(connection): Operation<void> {
            yield* sleep(bed.clock, holdMs);
            pool.returnConnection(connection);
        });
        if (ran.ok) this.served++;
    }
}

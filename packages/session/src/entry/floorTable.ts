import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";

/** A session's floor for each service: the log position of its last acknowledged commit, which its later reads must include. */
export class FloorTable {
    private readonly floors = new Map<string, LogPosition>();

    private constructor() {}

    public static create(): FloorTable {
        return new FloorTable();
    }

    public find(service: string): LogPosition | undefined {
        return this.floors.get(service);
    }

    public raise(service: string, position: LogPosition): void {
        const known = this.floors.get(service);
        if (known === undefined || compareLogPositions(position, known) > 0) this.floors.set(service, position);
    }
}

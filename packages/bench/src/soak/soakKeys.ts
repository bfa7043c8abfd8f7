import { LinePlatform } from "@vanillarouter/standins/line/linePlatform";

/** Time in milliseconds after which a withdrawn key must not be served and an added one must be. */
const applyMs = 5_000;
const withdrawnKey = "withdrawn-key";
const addedKey = "added-key";

/**
 * The keys of a soak run. One of the first tenant is withdrawn and another one added while it runs. Faults may cut VMs off from the store,
 * so the time to apply the change counts from the end of all faults.
 */
export class SoakKeys {
    /** Times on the clock of `performance`; infinite before the event. */
    private rotatedAt = Infinity;
    private faultsEndedAt = Infinity;

    private constructor(private readonly tenantCount: number) {}

    /** Without tenants, callers are not authenticated. */
    public static create(tenantCount: number): SoakKeys {
        return new SoakKeys(tenantCount);
    }

    /** A key that is valid after `rotate`. */
    public get lastKey(): string {
        return addedKey;
    }

    /** The key of the caller with this number. */
    public choose(callerNumber: number): string {
        const index = callerNumber % (this.tenantCount + 2);
        return [withdrawnKey, addedKey][index] ?? `key-${index - 2}`;
    }

    /** Puts a configuration with the keys in force. */
    public configure(platform: LinePlatform, version: number): void {
        const rotating = this.rotatedAt === Infinity ? withdrawnKey : addedKey;
        const tenants = Array.from(
            { length: this.tenantCount },
            (_, index) => [`tenant-${index}`, [`key-${index}`, ...index === 0 ? [rotating] : []]] as const,
        );
        platform.keysByTenant = this.tenantCount === 0 ? undefined : Object.fromEntries(tenants);
        platform.putConfiguration(version);
    }

    /** Withdraws one key and adds another one in the same version. */
    public rotate(platform: LinePlatform, version: number): void {
        this.rotatedAt = performance.now();
        this.configure(platform, version);
    }

    /** Records the end of all faults. Returns the time in milliseconds after which every VM must have applied the change. */
    public endFaults(): number {
        this.faultsEndedAt = performance.now();
        return applyMs;
    }

    /** Whether a statement that was sent with the key at `sentAt` may have run. */
    public mayServe(key: string, sentAt: number): boolean {
        if (this.tenantCount === 0) return true;
        return key === withdrawnKey ? sentAt <= this.faultsEndedAt + applyMs : key !== addedKey || sentAt >= this.rotatedAt;
    }

    /** Whether a login or statement that was sent with the key at `sentAt` may have been refused by now because of the key. */
    public mayRefuse(key: string, sentAt: number): boolean {
        return key === withdrawnKey ? this.rotatedAt !== Infinity : key === addedKey && sentAt <= this.faultsEndedAt + applyMs;
    }
}

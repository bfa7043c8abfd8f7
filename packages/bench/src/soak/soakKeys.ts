import { LinePlatform } from "@vanillarouter/standins/line/linePlatform";

/** Time in milliseconds after which a withdrawn key must not be served and an added one must be. */
const applyMs = 5_000;
const permanent = { addedAt: -Infinity, withdrawnAt: Infinity };
const withdrawnKey = "withdrawn-key";
const addedKey = "added-key";

/**
 * The keys of a soak run. One of the first tenant is withdrawn and another one added while it runs. Faults may cut VMs off from the store,
 * so the time to apply the change counts from the end of all faults.
 */
export class SoakKeys {
    private readonly periods = new Map<string, { readonly addedAt: number; readonly withdrawnAt: number; }>();
    private faultsEndedAt = Infinity;

    private constructor(private readonly tenantCount: number) {
        for (let tenant = 1; tenant <= tenantCount; tenant++) this.periods.set(`key-${tenant}`, permanent);
        if (tenantCount === 0) return;
        this.periods.set(withdrawnKey, permanent);
        this.periods.set(addedKey, { addedAt: Infinity, withdrawnAt: Infinity });
    }

    /** Without tenants, callers are not authenticated and use any key. */
    public static create(tenantCount: number): SoakKeys {
        return new SoakKeys(tenantCount);
    }

    /** The key of the caller with this number. */
    public choose(callerNumber: number): string {
        const keys = [...this.periods.keys()];
        return keys[callerNumber % keys.length] ?? "any";
    }

    /** A key that is valid after `rotate`. */
    public get lastKey(): string {
        return this.tenantCount === 0 ? "any" : addedKey;
    }

    /** Puts a configuration with the keys in force. */
    public configure(platform: LinePlatform, version: number): void {
        const isValid = (key: string): boolean => this.periods.get(key)!.addedAt !== Infinity && this.periods.get(key)!.withdrawnAt === Infinity;
        const rotating = [withdrawnKey, addedKey];
        const entries = Array.from(
            { length: this.tenantCount },
            (_, index) => [`tenant-${index + 1}`, [`key-${index + 1}`, ...index === 0 ? rotating : []]] as const,
        );
        platform.keysByTenant = this.tenantCount === 0 ? undefined : Object.fromEntries(entries.map(([name, keys]) => [name, keys.filter(isValid)]));
        platform.putConfiguration(version);
    }

    /** Withdraws one key and adds another one in the same version. */
    public rotate(platform: LinePlatform, version: number): void {
        if (this.tenantCount === 0) return;
        const now = performance.now();
        this.periods.set(withdrawnKey, { addedAt: -Infinity, withdrawnAt: now });
        this.periods.set(addedKey, { addedAt: now, withdrawnAt: Infinity });
        this.configure(platform, version);
    }

    /** Records the end of all faults. Returns the time in milliseconds after which every VM must have applied the change. */
    public endFaults(): number {
        this.faultsEndedAt = performance.now();
        return this.tenantCount === 0 ? 0 : applyMs;
    }

    /** Whether a statement that was sent with the key at `sentAt`, on the clock of `performance`, may have run. */
    public mayServe(key: string, sentAt: number): boolean {
        const { addedAt, withdrawnAt } = this.periods.get(key) ?? permanent;
        return sentAt >= addedAt && sentAt <= Math.max(withdrawnAt, this.faultsEndedAt) + applyMs;
    }

    /** Whether a login or statement that was sent with the key at `sentAt` may be refused because of the key. */
    public mayRefuse(key: string, sentAt: number): boolean {
        const { addedAt, withdrawnAt } = this.periods.get(key) ?? permanent;
        return withdrawnAt !== Infinity || (addedAt !== -Infinity && sentAt <= Math.max(addedAt, this.faultsEndedAt) + applyMs);
    }
}

import { Clock } from "@vanillarouter/base/clock";
import { compareLogPositions } from "@vanillarouter/base/compareLogPositions";
import { LogPosition } from "@vanillarouter/base/logPosition";
import { Operation } from "@vanillarouter/base/operation";
import { sleep } from "@vanillarouter/base/sleep";
import { ServiceGroup } from "../cluster/serviceGroup";
import { ClockReading } from "../freshness/clockReading";

/** How long a commit waits until a replica has received it, which is the second copy; after that, the verification that its primary is current is sufficient. */
const secondCopyTimeoutMs = 12;
const retryDelayMs = 12;

/**
 * Decides whether a commit may be acknowledged.
 *
 * It may if a replica that is asked after the commit reports the primary's term and no fence, because then no other
 * primary had been promoted. The confirmer also waits briefly until a replica has received the commit, but does not require
 * that: upstreams that replicate asynchronously do not guarantee a second copy.
 */
export class WriteConfirmer {
    private constructor(private readonly clock: Clock) {}

    public static create(clock: Clock): WriteConfirmer {
        return new WriteConfirmer(clock);
    }

    /** Returns whether a commit at `position` may be acknowledged. `sentAt` was read before the statement was sent to the primary of `term`. */
    public *confirm(group: ServiceGroup, term: number, position: LogPosition, sentAt: ClockReading, waitDeadline: number): Operation<boolean> {
        if (position.term !== term) return false;
        const answeredAt = this.clock.now();
        let since = answeredAt;
        while (this.clock.now() < waitDeadline) {
            const verification = yield* group.primaryVerifier.verify(term, since, waitDeadline);
            if (group.primaryTracker.primary !== undefined && group.primaryTracker.primary.term > term) return false;
            if (verification !== undefined) {
                group.positionSamples.add(sentAt, position);
                const hasSecondCopy = compareLogPositions(verification.received, position) >= 0;
                if (hasSecondCopy || this.clock.now() - answeredAt >= secondCopyTimeoutMs) return true;
            }
            yield* sleep(this.clock, retryDelayMs);
            since = this.clock.now();
        }
        return false;
    }
}

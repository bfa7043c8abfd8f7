import { MembershipTiming } from "./membershipTiming";

/** A killed VM is declared dead within 1 to 3 s: the wait until its next probe, one period without an ack, and the suspicion timeout. */
export const defaultTiming: MembershipTiming = { probePeriodMs: 500, ackTimeoutMs: 200, suspicionTimeoutMs: 1_200, maxPauseMs: 1_200 };

import { LogPosition } from "@vanillarouter/base/logPosition";
import { ClockReading } from "./clockReading";

/** Evidence that no other primary had been promoted at `askedAt`. */
export interface PrimaryVerification {
    readonly term: number;
    /** Log position that the confirming replica had received. */
    readonly received: LogPosition;
    /** When the verification round began, before any replica was asked. */
    readonly askedAt: ClockReading;
}

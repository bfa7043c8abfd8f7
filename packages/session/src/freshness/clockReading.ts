/** A moment on this VM's clock. Evidence that is dated with it is worthless after a suspension, which that clock does not count. */
export interface ClockReading {
    /** Local time in milliseconds. */
    readonly at: number;
    /** Changes whenever a suspension is detected. */
    readonly generation: number;
}

/** Faults of one call to a fake owner. */
export enum FakeFault {
    None,
    /** Refused, truly without an effect. */
    Refuse,
    /** Shed because of an overload. */
    Shed,
    LoseRequest,
    LoseReply,
    /** The call fails at once and the request runs later. */
    RunLate,
    /** The answer to another request arrives. */
    MixUp,
}

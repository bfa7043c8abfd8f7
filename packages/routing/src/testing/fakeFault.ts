/** The fault injected into one call to a fake owner. */
export enum FakeFault {
    None,
    /** The request is refused without having run. */
    Refuse,
    /** The request is shed because of an overload. */
    Shed,
    LoseRequest,
    LoseResponse,
    /** The call fails immediately and the request runs later. */
    RunLate,
    /** The caller receives the response to another request. */
    WrongResponse,
}

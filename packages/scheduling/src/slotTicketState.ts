/** The states of a slot ticket. Refused and Done are final. */
export enum SlotTicketState {
    Waiting,
    Granted,
    Refused,
    Done,
}

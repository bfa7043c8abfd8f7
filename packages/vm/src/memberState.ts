/** States of a member, in the order in which one replaces another of the same incarnation. */
export enum MemberState {
    Alive,
    Suspect,
    Dead,
}

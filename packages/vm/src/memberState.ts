/** States of a member, in order of precedence within one incarnation: a later state replaces an earlier one. */
export enum MemberState {
    Alive,
    Suspect,
    Dead,
}

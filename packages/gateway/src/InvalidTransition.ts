/** Thrown on a transition that the state machine of a request does not allow: a program bug. */
export class InvalidTransition extends Error {
  readonly kind = 'invalid-transition';

  constructor(
    readonly from: string,
    /** What was attempted: the method called, the phase to enter or the verdict of an attempt. */
    readonly event: string,
  ) {
    super(`invalid request transition: ${event} while ${from}`);
  }
}

/** Thrown on a transition that the state machine of a request does not allow: a program bug. */
export class InvalidTransition extends Error {
  readonly kind = 'invalid-transition';

  constructor(
    readonly from: string,
    readonly event: string,
  ) {
    super(`invalid request transition: ${event} while ${from}`);
  }
}

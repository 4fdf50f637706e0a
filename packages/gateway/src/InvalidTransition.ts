/** A transition that a request's state machine does not have: a fault of the program. */
export class InvalidTransition extends Error {
  readonly kind = 'invalid-transition';

  constructor(
    readonly from: string,
    readonly event: string,
  ) {
    super(`${event} while ${from}`);
  }
}

/** The reason with which a call that has already ended aborts its connection. */
export class CallEnded extends Error {
  readonly kind = 'call-ended';
}

/** Why the gateway cuts a send: it has its end already. */
export class CallEnded extends Error {
  readonly kind = 'call-ended';
}

/** Makes grants: a fresh id, the time to start by, and the lease of the task. */
import { type ConfigView } from '@acaciadock/config';
import { type Grant } from '@acaciadock/peers';
import { type Placement } from './WaitingTicket.js';

/** How long a gateway may take from the grant to the send. */
const START_WINDOW_MS = 1_000;

export class GrantMaker {
  private nextGrant = 0;

  constructor(
    private readonly config: ConfigView,
    private readonly incarnation: string,
  ) {}

  make({ waiting, targetId, creditUse }: Placement): Grant {
    const { ticketId, serviceId, teamId } = waiting;
    const startByMs = creditUse.acquiredAtMs + START_WINDOW_MS;
    const leaseMs = this.config.state().document.services[serviceId]?.taskLeaseMs ?? 0;
    this.nextGrant += 1;
    return {
      kind: 'grant',
      ticketId,
      grantId: `${serviceId}:${this.incarnation}:${this.nextGrant}`,
      serviceId,
      teamId,
      targetId,
      startByMs,
      leaseExpiresAtMs: startByMs + leaseMs,
      creditUseId: creditUse.useId,
      creditHolderEntryId: creditUse.holderEntryId,
      creditEpoch: creditUse.epoch,
    };
  }
}

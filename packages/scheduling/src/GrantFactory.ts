/** Creates grants with a unique id, the latest start and the lease expiry of the task. */
import { type ConfigView } from '@acaciadock/config';
import { type Grant } from '@acaciadock/peers';
import { type Placement } from './WaitingTicket.js';

/**
 * How long after its credit was acquired a grant may be started by the gateway. Must not exceed
 * `startWindowMs` of `CreditTiming` and of `DrainLimits` in the maintenance package: those wait
 * until the start window of the last grant has certainly ended.
 */
const START_WINDOW_MS = 1_000;

export class GrantFactory {
  private lastGrantNumber = 0;

  constructor(
    private readonly config: ConfigView,
    private readonly incarnation: string,
  ) {}

  create({ waiting, targetId, creditUse }: Placement): Grant {
    const { ticketId, serviceId, teamId } = waiting;
    const startByMs = creditUse.acquiredAtMs + START_WINDOW_MS;
    const leaseMs = this.config.state().document.services[serviceId]?.taskLeaseMs ?? 0;
    this.lastGrantNumber += 1;
    return {
      kind: 'grant',
      ticketId,
      grantId: `${serviceId}:${this.incarnation}:${this.lastGrantNumber}`,
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

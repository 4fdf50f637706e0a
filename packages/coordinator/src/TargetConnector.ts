/**
 * Opens connections to all targets before the process owns the journal: hundreds of them at the moment of
 * the claim would keep it from everything else. Each target is asked for its report in the name of the
 * present owner; that extends no lease and acknowledges nothing, and what is reported is ignored.
 */
import { type TargetPort } from '@acaciadock/execution';
import pLimit from 'p-limit';
import { type RegistryEntry, type TargetRegistry } from './contracts/index.js';

/** One for reports, one for orders; the others are opened as they are needed. */
const CONNECTIONS_PER_TARGET = 2;

const TARGETS_AT_A_TIME = 16;

export class TargetConnector {
  constructor(
    private readonly registry: TargetRegistry,
    private readonly port: Pick<TargetPort, 'hold'>,
  ) {}

  /** Ends once all targets have been asked, or as soon as the signal is aborted. */
  async connect(ownerEpoch: number, signal: AbortSignal): Promise<void> {
    const listed = await this.registry.list();
    if (listed.isErr()) return;
    const limit = pLimit(TARGETS_AT_A_TIME);
    await limit.map(listed.value, async (entry) => {
      if (!signal.aborted) await this.connectTo(entry, ownerEpoch);
    });
  }

  private async connectTo(entry: RegistryEntry, fencingToken: number): Promise<void> {
    const request = { fencingToken, lastSeenEnd: 0, leaseUntilMs: undefined, waitMs: 0 };
    // Calls that are under way at the same time get connections of their own.
    const calls = Array.from({ length: CONNECTIONS_PER_TARGET }, () =>
      this.port.hold(entry, request),
    );
    await Promise.all(calls);
  }
}

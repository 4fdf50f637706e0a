/**
 * Runs a coordinator on a copy of the journal for a moment, so that its code is compiled and optimized
 * before the process owns the journal: each part of the work takes several times as long until then.
 * Nothing leaves the process: records are discarded, and no order is sent.
 */
import { SilentLogger } from '@acaciadock/core';
import {
  type LogFailure,
  type OwnedJournal,
  type RecordLog,
  type StoredRecord,
} from '@acaciadock/journal';
import { err, ok } from 'neverthrow';
import { type AdviceService, type WaveReports } from './contracts/index.js';
import { Coordinator, type CoordinatorDeps, type CoordinatorSettings } from './Coordinator.js';
import { LoopbackPort } from './LoopbackPort.js';
import { Ownership } from './Ownership.js';

/** Long enough for most tasks to end, and for as many to be placed; in milliseconds. */
const DURATION_MS = 1_000;

export type WarmUpDeps = Pick<
  CoordinatorDeps,
  'registry' | 'waves' | 'evacuationRequests' | 'clock' | 'config' | 'decoder'
>;

const NOTHING_READ: LogFailure = { kind: 'rejected', detail: 'warm-up' };

/** Takes every append, and keeps none. */
const DISCARDING_LOG: RecordLog = {
  append: () => Promise.resolve(ok(undefined)),
  readNewest: () => Promise.resolve(err(NOTHING_READ)),
  readFrom: () => Promise.resolve(err(NOTHING_READ)),
};

const NO_ADVICE: AdviceService = {
  advise: () => Promise.resolve(err({ kind: 'advice-unavailable', detail: 'warm-up' })),
};

const NO_REPORTS: WaveReports = { publish: () => Promise.resolve(ok(undefined)) };

export class WarmUp {
  constructor(
    private readonly options: CoordinatorSettings,
    private readonly deps: WarmUpDeps,
  ) {}

  /** Ends by itself, or as soon as the signal is aborted. */
  async run(records: readonly StoredRecord[], signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    const { clock } = this.deps;
    const owned: OwnedJournal = { epoch: 0, nextOffset: 1, records };
    const { holderId: entryId, bootMs } = this.options;
    const owner = { entryId, bootMs, peerAddress: '', formerMayExtend: false };
    const ownership = new Ownership(DISCARDING_LOG, owned, owner, clock);
    const coordinator = this.createCoordinator(owned, ownership);
    signal.addEventListener('abort', () => ownership.end('shutdown'));
    coordinator.start();
    await clock.sleep(DURATION_MS);
    ownership.end('shutdown');
  }

  private createCoordinator(owned: OwnedJournal, ownership: Ownership): Coordinator {
    const { clock } = this.deps;
    const coordinator: Coordinator = new Coordinator(
      owned,
      { ...this.options, hasPreviousOwnerStopped: true, inheritedLeaseMs: undefined },
      {
        ...this.deps,
        ownership,
        port: new LoopbackPort(clock, (targetId) => coordinator.targets.get(targetId)),
        advice: NO_ADVICE,
        fleet: undefined,
        reports: NO_REPORTS,
        logger: new SilentLogger(),
      },
    );
    return coordinator;
  }
}

/**
 * Gives room to waiting tasks, pool by pool, in the order of urgency. A pass looks only at pools in
 * which something has changed.
 */
import { type Clock, Disposable, type IDisposable, type Logger } from '@acaciadock/core';
import { type JobsConfigView } from '@acaciadock/jobs';
import { QueueOrder, RoomBound, type RuntimeEstimates } from '@acaciadock/placement';
import { type DemandMeter } from './DemandMeter.js';
import { type HealthWatch } from './HealthWatch.js';
import { type JobEntry } from './JobEntry.js';
import { type JobTable } from './JobTable.js';
import { type OpenStep } from './OpenStep.js';
import { OpenStepReader } from './OpenStepReader.js';
import { type Ownership } from './Ownership.js';
import { type RunBook } from './RunBook.js';
import { type TargetTable } from './TargetTable.js';
import { TaskPlacer } from './TaskPlacer.js';
import { type TeamUsage } from './TeamUsage.js';
import { type TicketBook } from './TicketBook.js';

/** Changes of this span share a pass, in milliseconds. */
const PASS_DELAY_MS = 2;

/** Between two passes that nothing has asked for, in milliseconds: pauses and tickets expire. */
const REGULAR_PASS_MS = 100;

export interface JobSchedulerDeps {
  readonly jobs: JobTable;
  readonly targets: TargetTable;
  readonly usage: TeamUsage;
  readonly book: RunBook;
  readonly estimates: RuntimeEstimates;
  readonly demand: DemandMeter;
  readonly tickets: TicketBook;
  readonly health: HealthWatch;
  readonly ownership: Ownership;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly config: () => JobsConfigView;
}

export class JobScheduler extends Disposable {
  private readonly dirtyPools = new Set<string>();

  private passTimer: IDisposable | undefined;

  private readonly reader: OpenStepReader;

  private readonly placer: TaskPlacer;

  constructor(private readonly deps: JobSchedulerDeps) {
    super();
    this.reader = new OpenStepReader(deps);
    this.placer = this.register(new TaskPlacer(deps));
    this.register(deps.clock.every(REGULAR_PASS_MS, () => this.wakeAll()));
    this.register({ dispose: () => this.passTimer?.dispose() });
  }

  /** Fires when a planned run is durable and its order may leave. */
  get onPlaced(): TaskPlacer['onPlaced'] {
    return this.placer.onPlaced;
  }

  /** Asks for a pass over the pool. */
  wake(poolId: string): void {
    this.dirtyPools.add(poolId);
    this.passTimer ??= this.deps.clock.after(PASS_DELAY_MS, () => this.runPass());
  }

  /** Asks for a pass over the job's pool. */
  wakeFor(entry: JobEntry): void {
    this.wake(this.poolOf(entry));
  }

  /** Opens the occurrences of a scheduled job that are due. */
  openDue(entry: JobEntry): void {
    if (!entry.job.isScheduled) return;
    if (entry.job.openDue(this.deps.clock.unixMs()).length > 0) this.wakeFor(entry);
  }

  wakeAll(): void {
    this.deps.config().config.pools.forEach((pool) => this.wake(pool.poolId));
  }

  /** The pool that runs the job now: its queue's, or the one it was accepted for. */
  poolOf(entry: JobEntry): string {
    return this.reader.poolOf(entry);
  }

  private runPass(): void {
    this.passTimer = undefined;
    const { ownership } = this.deps;
    if (this.isDisposed || !ownership.isActive || !ownership.isStoreResponsive) return;
    const pools = new Set(this.dirtyPools);
    this.dirtyPools.clear();
    const stepsByPool = this.reader.collect(pools);
    pools.forEach((poolId) => this.placePool(poolId, stepsByPool.get(poolId) ?? []));
  }

  private placePool(poolId: string, steps: readonly OpenStep[]): void {
    const { clock, targets } = this.deps;
    const nowMs = clock.monotonicMs();
    const open = this.deps.health
      .usable(targets.ofPool(poolId))
      .filter((target) => target.isOpen(nowMs));
    const ordered = QueueOrder.sort(steps, clock.unixMs());
    const tooLarge = new RoomBound();
    const blocked = ordered.filter(
      (step) => this.placer.placeStep(step, open, tooLarge) === 'no-room',
    );
    this.deps.demand.noteWaiting(poolId, blocked);
  }
}

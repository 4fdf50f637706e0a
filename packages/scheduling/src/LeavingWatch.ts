/**
 * The task that polls the platform's instance list for leaving targets. If the list can't be read,
 * the previous result stays in effect. An instance that is missing from the list does not count as
 * leaving.
 */
import { type Clock, EventEmitter, type InstanceId, Task } from '@acaciadock/core';
import { type InstanceDirectory } from '@acaciadock/platform';

const POLL_PERIOD_MS = 500;

interface PollDue {
  readonly kind: 'poll-due';
}

export class LeavingWatch extends Task<PollDue> {
  private leavingIds: ReadonlySet<InstanceId> = new Set();

  private readonly changeEmitter = this.register(new EventEmitter<ReadonlySet<InstanceId>>());

  /** Fires with the new set of leaving targets after it has changed. */
  readonly onChange = this.changeEmitter.event;

  private polling = false;

  constructor(
    private readonly directory: InstanceDirectory,
    clock: Clock,
  ) {
    super('leaving-watch');
    this.register(clock.every(POLL_PERIOD_MS, () => this.poll()));
    this.poll();
  }

  /** The leaving targets, from the last list of the platform that could be read. */
  get leaving(): ReadonlySet<InstanceId> {
    return this.leavingIds;
  }

  protected override async handle(): Promise<void> {
    this.polling = true;
    const listed = await this.directory.list();
    this.polling = false;
    if (listed.isErr() || this.isDisposed) return;
    const leaving = listed.value.instances
      .filter(({ role, state }) => role === 'target' && state === 'leaving')
      .map(({ instanceId }) => instanceId);
    this.update(new Set(leaving));
  }

  private poll(): void {
    if (!this.polling) this.post({ kind: 'poll-due' });
  }

  private update(leaving: ReadonlySet<InstanceId>): void {
    const same =
      leaving.size === this.leavingIds.size &&
      [...leaving].every((instanceId) => this.leavingIds.has(instanceId));
    if (same) return;
    this.leavingIds = leaving;
    this.changeEmitter.fire(leaving);
  }
}

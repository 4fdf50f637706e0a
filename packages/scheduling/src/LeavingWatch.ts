/**
 * The task that polls the platform's list for targets that leave. A list that can't be read leaves
 * the last one in force; an instance that is merely missing is not taken to leave.
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

  /** Fires with the leaving targets after they changed. */
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

  /** The targets that leave, as the platform's last list says. */
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

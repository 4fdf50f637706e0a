/**
 * Appends to the control stream, batched and rate-limited so that all entries together stay within
 * the stream's share of the log's throughput. An append is not retried, and its outcome is not
 * checked: the caller appends a record again until it reads it back from the stream. Every kind of
 * record is idempotent.
 */
import { type Clock, Disposable, type IDisposable } from '@acaciadock/core';
import { CONTROL_STREAM, type LogService } from '@acaciadock/platform';

const APPEND_PAUSE_MS = 250;
const MAX_QUEUED_RECORDS = 500;

export class ControlStreamWriter extends Disposable {
  private queue: unknown[] = [];

  private busy = false;

  private pause: IDisposable | undefined;

  private appends = 0;

  constructor(
    private readonly log: LogService,
    private readonly clock: Clock,
  ) {
    super();
  }

  /** Number of append calls made so far. */
  get appendCount(): number {
    return this.appends;
  }

  /** Queues a record. Returns false, and drops the record, if the queue is full. */
  append(record: object): boolean {
    if (this.isDisposed || this.queue.length >= MAX_QUEUED_RECORDS) return false;
    this.queue.push(record);
    if (!this.busy) void this.flush();
    return true;
  }

  override dispose(): void {
    this.pause?.dispose();
    super.dispose();
  }

  private async flush(): Promise<void> {
    this.busy = true;
    const batch = this.queue;
    this.queue = [];
    this.appends += 1;
    await this.log.append(CONTROL_STREAM, batch);
    if (this.isDisposed) return;
    this.pause = this.clock.after(APPEND_PAUSE_MS, () => {
      this.busy = false;
      if (this.queue.length > 0) void this.flush();
    });
  }
}

/**
 * Appends to the control stream, batched and paced so that all entries together stay within the
 * stream's part of the log. It never settles an append: whoever wants a record in the stream
 * offers it again until it reads it back, and every kind of record is harmless twice.
 */
import { type Clock, Disposable, type IDisposable } from '@acaciadock/core';
import { CONTROL_STREAM, type LogService } from '@acaciadock/platform';

const PACE_MS = 250;
const MOST_QUEUED_RECORDS = 500;

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

  /** Append calls made so far. */
  get appendCount(): number {
    return this.appends;
  }

  /** Queues a record; false if too many wait, and then it is dropped. */
  append(record: object): boolean {
    if (this.isDisposed || this.queue.length >= MOST_QUEUED_RECORDS) return false;
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
    this.pause = this.clock.after(PACE_MS, () => {
      this.busy = false;
      if (this.queue.length > 0) void this.flush();
    });
  }
}

/**
 * A stream that passes lines on in batches. A write to a pipe is a system call, and a busy entry logs
 * hundreds of lines a second. Each write to the stream is one line; a batch holds whole lines, no
 * more than POSIX writes to a pipe atomically.
 */
import { type Clock, Disposable, type IDisposable } from '@acaciadock/core';
import { Writable } from 'node:stream';

/** Longest time that a line waits for others, in milliseconds. */
const FLUSH_AFTER_MS = 20;

/** Most bytes in a batch, PIPE_BUF on Linux. A single line may be longer and is then written by itself. */
const MAX_BATCH_BYTES = 4_096;

export class BatchedOutput extends Disposable {
  /** The stream to write lines to. */
  readonly stream: NodeJS.WritableStream;

  private batch: string[] = [];

  private batchBytes = 0;

  private timer: IDisposable | undefined;

  constructor(
    private readonly inner: NodeJS.WritableStream,
    private readonly clock: Clock,
  ) {
    super();
    this.stream = new Writable({
      decodeStrings: false,
      write: (text: string | Buffer, _encoding, done) => {
        this.add(text.toString());
        done();
      },
    });
    this.register({ dispose: () => this.flush() });
  }

  /** Passes on the lines that wait; to be called before the process exits. */
  flush(): void {
    this.timer?.dispose();
    this.timer = undefined;
    if (this.batch.length === 0) return;
    const text = this.batch.join('');
    this.batch = [];
    this.batchBytes = 0;
    this.inner.write(text);
  }

  private add(line: string): void {
    const lineBytes = Buffer.byteLength(line);
    if (this.batchBytes + lineBytes > MAX_BATCH_BYTES) this.flush();
    this.batch.push(line);
    this.batchBytes += lineBytes;
    if (this.batchBytes >= MAX_BATCH_BYTES || this.isDisposed) this.flush();
    else this.timer ??= this.clock.after(FLUSH_AFTER_MS, () => this.flush());
  }
}

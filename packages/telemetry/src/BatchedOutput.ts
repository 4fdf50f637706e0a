/**
 * A stream that passes lines on in batches. A write to a pipe is a system call, and a busy entry logs
 * hundreds of lines a second.
 */
import { type Clock, Disposable, type IDisposable } from '@acaciadock/core';
import { Writable } from 'node:stream';

/** Longest time that a line waits for others, in milliseconds. */
const FLUSH_AFTER_MS = 20;

/** A batch of this many characters is passed on at once. */
const MAX_BATCH_CHARACTERS = 65_536;

export class BatchedOutput extends Disposable {
  /** The stream to write lines to. */
  readonly stream: NodeJS.WritableStream;

  private batch: string[] = [];

  private batchCharacters = 0;

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
    this.batchCharacters = 0;
    this.inner.write(text);
  }

  private add(text: string): void {
    this.batch.push(text);
    this.batchCharacters += text.length;
    if (this.batchCharacters >= MAX_BATCH_CHARACTERS || this.isDisposed) this.flush();
    else this.timer ??= this.clock.after(FLUSH_AFTER_MS, () => this.flush());
  }
}

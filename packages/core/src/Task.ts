/**
 * Base class of actors: a task owns its sockets and its state, and other code reaches it only by
 * messages, which it handles one at a time in order of arrival. The mailbox is bounded: a message
 * that would exceed the bound is rejected.
 */
import { Disposable } from './Disposable.js';
import { EventEmitter } from './EventEmitter.js';

const DEFAULT_MAX_MESSAGES = 100_000;

/** Handling a message threw an error. The task continues with its next message. */
export interface TaskFailure {
  readonly kind: 'task-failed';
  readonly taskName: string;
  readonly cause: unknown;
}

export abstract class Task<Message> extends Disposable {
  private mailbox: Message[] = [];

  /** Messages of the current batch that have not been handled yet. */
  private remaining = 0;

  private draining = false;

  private readonly failureEmitter = this.register(new EventEmitter<TaskFailure>());

  /** Fires when handling a message threw an error. */
  readonly onFailure = this.failureEmitter.event;

  constructor(
    readonly name: string,
    private readonly maxMessages = DEFAULT_MAX_MESSAGES,
  ) {
    super();
  }

  /** Queues a message; false if the mailbox is full or the task is disposed. */
  post(message: Message): boolean {
    if (this.isDisposed) return false;
    if (this.mailbox.length + this.remaining >= this.maxMessages) return false;
    this.mailbox.push(message);
    if (this.draining) return true;
    this.draining = true;
    queueMicrotask(() => {
      void this.drain();
    });
    return true;
  }

  /** Handles one message. The next one is handled after the returned promise has settled. */
  protected abstract handle(message: Message): void | Promise<void>;

  private async drain(): Promise<void> {
    while (this.mailbox.length > 0 && !this.isDisposed) {
      const batch = this.mailbox;
      this.mailbox = [];
      this.remaining = batch.length;
      for (const message of batch) {
        this.remaining -= 1;
        await this.handleSafely(message);
        if (this.isDisposed) break;
      }
    }
    this.remaining = 0;
    this.draining = false;
  }

  private async handleSafely(message: Message): Promise<void> {
    try {
      await this.handle(message);
    } catch (cause) {
      this.failureEmitter.fire({ kind: 'task-failed', taskName: this.name, cause });
    }
  }
}

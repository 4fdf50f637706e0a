/**
 * A task owns its sockets and its state. Others reach it only by messages, which it handles one
 * at a time in the order of arrival. The mailbox is bounded: a full one refuses, it never grows.
 */
import { Disposable } from './Disposable.js';
import { EventEmitter } from './EventEmitter.js';

const DEFAULT_MAILBOX_MESSAGES = 100_000;

/** A handler threw. The task goes on with its next message. */
export interface TaskFailure {
  readonly kind: 'task-failed';
  readonly taskName: string;
  readonly cause: unknown;
}

export abstract class Task<Message> extends Disposable {
  private mailbox: Message[] = [];

  /** Messages of the batch under way that are not handled yet. */
  private remaining = 0;

  private draining = false;

  private readonly failureEmitter = this.register(new EventEmitter<TaskFailure>());

  /** Fires when handling a message threw. */
  readonly onFailure = this.failureEmitter.event;

  constructor(
    readonly name: string,
    private readonly mostMessages = DEFAULT_MAILBOX_MESSAGES,
  ) {
    super();
  }

  /** Queues a message; false if the mailbox is full or the task has ended. */
  post(message: Message): boolean {
    if (this.isDisposed) return false;
    if (this.mailbox.length + this.remaining >= this.mostMessages) return false;
    this.mailbox.push(message);
    if (this.draining) return true;
    this.draining = true;
    queueMicrotask(() => {
      void this.drain();
    });
    return true;
  }

  /** Handles one message. The next waits until the result has settled. */
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

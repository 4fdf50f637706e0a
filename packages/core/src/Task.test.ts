import { describe, it } from './testing/describe.js';
import { Task, type TaskFailure } from './Task.js';

/**
 * A message is the number of event-loop turns that handling it takes. Handling a negative number
 * throws.
 */
class Collector extends Task<number> {
  readonly seen: number[] = [];

  private settled: () => void = () => undefined;

  constructor(maxMessages?: number) {
    super('collector', maxMessages);
  }

  /** Resolves when `count` messages have been handled without an error. */
  untilSeen(count: number): Promise<void> {
    return new Promise((resolve) => {
      this.settled = () => {
        if (this.seen.length >= count) resolve();
      };
    });
  }

  protected override async handle(message: number): Promise<void> {
    if (message < 0) throw new RangeError('negative');
    for (let turn = 0; turn < message; turn += 1) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    this.seen.push(message);
    this.settled();
  }
}

describe('Task', () => {
  describe('post', () => {
    it('handles messages one at a time, in order', async (t) => {
      const task = new Collector();
      const done = task.untilSeen(3);
      [5, 1, 0].forEach((message) => task.post(message));
      await done;
      t.same(task.seen, [5, 1, 0]);
    });

    it('rejects a message when the mailbox is full', (t) => {
      const task = new Collector(2);
      t.same(
        [1, 1, 1].map((message) => task.post(message)),
        [true, true, false],
      );
      task.dispose();
    });

    it('reports a failed message and handles the next one', async (t) => {
      const failures: TaskFailure[] = [];
      const task = new Collector();
      const done = task.untilSeen(1);
      task.onFailure((failure) => failures.push(failure));
      task.post(-1);
      task.post(1);
      await done;
      t.equal(failures[0]?.kind, 'task-failed');
      t.same(task.seen, [1]);
    });
  });
});

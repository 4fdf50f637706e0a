import { describe, it } from './testing/describe.js';
import { Task, type TaskFailure } from './Task.js';

class Collector extends Task<number> {
  readonly seen: number[] = [];

  constructor(mostMessages?: number) {
    super('collector', mostMessages);
  }

  protected override async handle(message: number): Promise<void> {
    if (message < 0) throw new RangeError('negative');
    await new Promise((resolve) => {
      setTimeout(resolve, message);
    });
    this.seen.push(message);
  }
}

const settle = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('Task', () => {
  describe('post', () => {
    it('handles messages one at a time, in order', async (t) => {
      const task = new Collector();
      [5, 1, 0].forEach((message) => task.post(message));
      await settle(40);
      t.same(task.seen, [5, 1, 0]);
    });

    it('refuses when the mailbox is full', (t) => {
      const task = new Collector(2);
      t.same(
        [1, 1, 1].map((message) => task.post(message)),
        [true, true, false],
      );
      task.dispose();
    });

    it('reports a failure and goes on', async (t) => {
      const failures: TaskFailure[] = [];
      const task = new Collector();
      task.onFailure((failure) => failures.push(failure));
      task.post(-1);
      task.post(1);
      await settle(20);
      t.equal(failures[0]?.kind, 'task-failed');
      t.same(task.seen, [1]);
    });
  });
});

/**
 * Checks that callers receive the true outcome of every request. Real entries serve callers over
 * loopback sockets, callers repeat requests, and targets, log, entries and fleet fail at the same
 * time; the answers are compared with what the targets recorded. Several fleets run in parallel
 * threads, each with its own seed.
 */
import { Worker } from 'node:worker_threads';
import { Bench, type BenchOptions, type BenchResult, checkBound } from './Bench.js';
import { type ShardOptions, type ShardResult } from './outcomes/OutcomeShard.js';
import { type OutcomeFigures } from './outcomes/OutcomeTally.js';

const SHARDS = 6;
const MIN_REQUESTS = 100_000;
const DEFAULT_MAX_MS = 38_000;
const LONG_MAX_MS = 600_000;
/** Difference between the seeds of consecutive shards. */
const SEED_STEP = 1_000;

function startShard(options: ShardOptions): Promise<ShardResult> {
  const worker = new Worker(new URL('./outcomes/shardWorker.js', import.meta.url), {
    workerData: options,
  });
  return new Promise((resolve, reject) => {
    worker.once('message', (result: ShardResult) => {
      resolve(result);
      void worker.terminate();
    });
    worker.once('error', reject);
  });
}

export class OutcomesBench extends Bench {
  override readonly name = 'outcomes';

  override readonly summary = 'requests under faults: lost, doubled, crossed, false "not run"';

  override async run({ seed, long }: BenchOptions): Promise<BenchResult> {
    const shards = await Promise.all(
      Array.from({ length: SHARDS }, (_, index) =>
        startShard({
          seed: seed + index * SEED_STEP,
          maxRequests: Math.ceil(MIN_REQUESTS / SHARDS),
          maxMs: long ? LONG_MAX_MS : DEFAULT_MAX_MS,
        }),
      ),
    );
    shards.forEach((shard) => this.note(JSON.stringify(shard)));
    const sum = (pick: (figures: OutcomeFigures) => number): number =>
      shards.reduce((total, { figures }) => total + pick(figures), 0);
    const none = (name: string, pick: (figures: OutcomeFigures) => number) =>
      checkBound(name, sum(pick), 'requests', 'exactly', 0);
    const sent = shards.reduce((total, { sentRequests }) => total + sentRequests, 0);
    const bounds = [
      checkBound('requests sent', sent, 'requests', 'at-least', MIN_REQUESTS),
      none('lost', ({ lost }) => lost),
      none('doubled', ({ doubled }) => doubled),
      none('crossed', ({ crossed }) => crossed),
      none('false not run', ({ falseNotRun }) => falseNotRun),
      none('non-idempotent runs > 1', ({ ranTwice }) => ranTwice),
    ];
    return { bounds };
  }
}

/**
 * Measures the latency that a claim in the log adds to a request with an idempotency key, how many
 * appends the claims need, and whether duplicates sent to all entries at once run exactly once.
 */
import { APPEND_BUDGET_PER_SECOND, CLAIMS_STREAM } from '@acaciadock/platform';
import { EntryFleet } from '@acaciadock/scenarios';
import { Bench, type BenchOptions, type BenchResult, checkBound } from './Bench.js';

const ENTRIES = 3;
const TARGETS = 8;
/** Enough requests in flight for several claims to share one append. */
const HIGH_LOAD_IN_FLIGHT = 64;
/** Few enough requests in flight that the latency contains no time spent in a queue. */
const LOW_LOAD_IN_FLIGHT = 6;
const DURATION_MS = 7_000;
const LONG_FACTOR = 4;
const DUPLICATED_KEYS = 300;
const DUPLICATED_KEYS_PER_BATCH = 20;
const SECOND_MS = 1_000;
const KILO = 1_000;

interface LoopFigures {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly answered: number;
  readonly failed: number;
}

function percentile(sorted: readonly number[], part: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}

export class ClaimsBench extends Bench {
  override readonly name = 'claims';

  override readonly summary = 'claims for requests with a key: latency, appends, duplicates';

  private nextKey = 0;

  private idempotencyTimeMs = 0;

  override async run({ seed, long }: BenchOptions): Promise<BenchResult> {
    const durationMs = long ? DURATION_MS * LONG_FACTOR : DURATION_MS;
    const fleet = new EntryFleet({
      seed,
      entries: ENTRIES,
      targets: TARGETS,
      slots: HIGH_LOAD_IN_FLIGHT,
      services: { filing: { idempotent: false } },
    });
    await fleet.start();
    fleet.targets.forEach((target) => Object.assign(target, { runMs: () => 1 }));
    this.idempotencyTimeMs = fleet.clock.unixMs();
    // Warm-up, whose figures are discarded.
    await this.runClosedLoop(fleet, true, HIGH_LOAD_IN_FLIGHT, SECOND_MS);
    const lowLoadUnkeyed = await this.runClosedLoop(fleet, false, LOW_LOAD_IN_FLIGHT, durationMs);
    const lowLoadKeyed = await this.runClosedLoop(fleet, true, LOW_LOAD_IN_FLIGHT, durationMs);
    const appendsBefore = fleet.log.records(CLAIMS_STREAM).length;
    const keyed = await this.runClosedLoop(fleet, true, HIGH_LOAD_IN_FLIGHT, durationMs);
    const appends = fleet.log.records(CLAIMS_STREAM).length - appendsBefore;
    const notRunOnce = await this.sendDuplicates(fleet);
    await fleet.stop();
    const claimsPerSecond = (keyed.answered * SECOND_MS) / durationMs;
    const appendsPerSecond = (appends * SECOND_MS) / durationMs;
    this.note(`calm, without key: ${JSON.stringify(lowLoadUnkeyed)}`);
    this.note(`calm, with key: ${JSON.stringify(lowLoadKeyed)}`);
    this.note(`added p50 ${(lowLoadKeyed.p50Ms - lowLoadUnkeyed.p50Ms).toFixed(2)} ms`);
    this.note(`added p99 ${(lowLoadKeyed.p99Ms - lowLoadUnkeyed.p99Ms).toFixed(2)} ms`);
    this.note(`busy, with key: ${JSON.stringify(keyed)}`);
    this.note(`${claimsPerSecond.toFixed(0)} claims/s by ${appendsPerSecond.toFixed(0)} appends/s`);
    this.note(`${((appends * KILO) / keyed.answered).toFixed(0)} appends per 1,000 claims`);
    const budget = APPEND_BUDGET_PER_SECOND[CLAIMS_STREAM];
    return {
      bounds: [
        checkBound('appends of all entries', appendsPerSecond, 'per second', 'at-most', budget),
        checkBound('failed', lowLoadKeyed.failed + keyed.failed, 'requests', 'exactly', 0),
        checkBound('duplicated work that did not run once', notRunOnce, 'keys', 'exactly', 0),
      ],
    };
  }

  /**
   * Keeps `inFlight` requests in flight for `durationMs`: each caller sends a new request as soon as
   * its last one is answered. If `keyed`, each request has its own idempotency key.
   */
  private async runClosedLoop(
    fleet: EntryFleet,
    keyed: boolean,
    inFlight: number,
    durationMs: number,
  ): Promise<LoopFigures> {
    const latenciesMs: number[] = [];
    let failed = 0;
    const untilMs = fleet.clock.monotonicMs() + durationMs;
    const caller = async (_: unknown, index: number): Promise<void> => {
      while (fleet.clock.monotonicMs() < untilMs) {
        const startMs = fleet.clock.monotonicMs();
        const { statusCode } = await this.sendNewJob(fleet, index % ENTRIES, keyed);
        latenciesMs.push(fleet.clock.monotonicMs() - startMs);
        if (statusCode !== 200) failed += 1;
      }
    };
    await Promise.all(Array.from({ length: inFlight }, caller));
    const sorted = latenciesMs.sort((a, b) => a - b);
    return {
      p50Ms: percentile(sorted, 0.5),
      p99Ms: percentile(sorted, 0.99),
      answered: sorted.length - failed,
      failed,
    };
  }

  private sendNewJob(fleet: EntryFleet, entry: number, keyed: boolean) {
    this.nextKey += 1;
    return this.sendJob(fleet, entry, `job-${this.nextKey}`, keyed);
  }

  private sendJob(fleet: EntryFleet, entry: number, job: string, keyed: boolean) {
    const idempotencyHeaders = {
      'idempotency-key': job,
      'x-idempotency-time': String(this.idempotencyTimeMs),
    };
    return fleet.send(entry, {
      serviceId: 'filing',
      body: job,
      headers: keyed ? idempotencyHeaders : {},
    });
  }

  /** Sends each key to all entries at once. Returns how many keys did not run exactly once. */
  private async sendDuplicates(fleet: EntryFleet): Promise<number> {
    const jobs = Array.from({ length: DUPLICATED_KEYS }, (_, index) => `twice-${index}`);
    for (let from = 0; from < jobs.length; from += DUPLICATED_KEYS_PER_BATCH) {
      const part = jobs.slice(from, from + DUPLICATED_KEYS_PER_BATCH);
      await Promise.all(
        part.flatMap((job) =>
          Array.from({ length: ENTRIES }, (_, entry) => this.sendJob(fleet, entry, job, true)),
        ),
      );
    }
    return jobs.filter((job) => fleet.runsOf(job) !== 1).length;
  }
}

/**
 * Compares the full request path with a bare forwarder made of `http` and `undici` in the same run:
 * latency, throughput, processor time and memory, for one entry and for three, each in its own
 * process.
 */
import { SystemClock } from '@acaciadock/core';
import { Bench, type BenchOptions, type BenchResult, type Bound, checkBound } from './Bench.js';
import { type ForkedRole } from './path/ForkedRole.js';
import { LoadPhase, type PhaseFigures } from './path/LoadPhase.js';
import { PathFixture } from './path/PathFixture.js';

const IN_FLIGHT = [1, 64, 280];
const WARM_UP_IN_FLIGHT = 64;
const BIG_IN_FLIGHT = 16;
const SMALL_BYTES = 200;
const BIG_BYTES = 1024 * 1024;
const WARM_UP_MS = 600;
const DURATION_MS = 1_800;
const LONG_FACTOR = 4;
const MIN_THROUGHPUT_RATIO = 0.5;
const SECOND_MS = 1_000;
const BYTES_PER_MB = 1024 * 1024;

interface Measured extends PhaseFigures {
  readonly perCoreSecond: number;
}

interface Subject {
  readonly name: string;
  readonly roles: readonly ForkedRole[];
}

async function cpuMsOf(roles: readonly ForkedRole[]): Promise<number> {
  const usages = await Promise.all(roles.map((role) => role.usage()));
  return usages.reduce((sum, { cpuMs }) => sum + cpuMs, 0);
}

export class PathBench extends Bench {
  override readonly name = 'path';

  override readonly summary = 'the full request path compared with a bare forwarder';

  private durationMs = DURATION_MS;

  override async run({ seed, long }: BenchOptions): Promise<BenchResult> {
    if (long) this.durationMs = DURATION_MS * LONG_FACTOR;
    const fixture = new PathFixture(new SystemClock(), seed);
    await fixture.start();
    const subjects = [
      { name: 'forwarder', roles: [await fixture.startForwarder()] },
      { name: 'one entry', roles: await fixture.startEntries(1) },
      { name: 'three entries', roles: await fixture.startEntries(3) },
    ];
    for (const subject of subjects) await this.printMemory(subject, 'at rest');
    for (const subject of subjects) await this.warmUp(fixture, subject);
    const bounds: Bound[] = [];
    for (const inFlight of IN_FLIGHT) {
      bounds.push(...(await this.compare(fixture, subjects, inFlight, SMALL_BYTES)));
    }
    bounds.push(...(await this.compare(fixture, subjects, BIG_IN_FLIGHT, BIG_BYTES)));
    for (const subject of subjects) await this.printMemory(subject, 'after load');
    await fixture.stop();
    return { bounds };
  }

  /** Lets the JavaScript engine compile the code of each process before anything is measured. */
  private async warmUp(fixture: PathFixture, subject: Subject): Promise<void> {
    const { perSecond } = await this.measure(fixture, subject, WARM_UP_IN_FLIGHT, SMALL_BYTES);
    this.note(`${subject.name} warmed up at ${perSecond.toFixed(0)}/s`);
  }

  private async compare(
    fixture: PathFixture,
    subjects: readonly Subject[],
    inFlight: number,
    bytes: number,
  ): Promise<readonly Bound[]> {
    const results: Measured[] = [];
    for (const subject of subjects) {
      const measured = await this.measure(fixture, subject, inFlight, bytes);
      results.push(measured);
      const { perSecond, perCoreSecond, p50Ms, p99Ms, failed } = measured;
      const [bare = measured] = results;
      this.note(
        `${subject.name}, ${inFlight} in flight, ${bytes} B: ${perSecond.toFixed(0)}/s, ` +
          `${perCoreSecond.toFixed(0)} per core-second, p50 ${p50Ms.toFixed(2)} ms ` +
          `(+${(p50Ms - bare.p50Ms).toFixed(2)}), p99 ${p99Ms.toFixed(2)} ms ` +
          `(+${(p99Ms - bare.p99Ms).toFixed(2)}), failed ${failed}`,
      );
    }
    const [bare, ...entries] = results;
    const size = bytes === BIG_BYTES ? '1 MB' : 'small';
    return entries.flatMap((entry, index) => {
      const label = `${subjects[index + 1]?.name}, ${inFlight} in flight, ${size}`;
      const ratio = entry.perSecond / (bare?.perSecond ?? 1);
      return [
        checkBound(
          `throughput of ${label}`,
          ratio,
          'of the forwarder',
          'at-least',
          MIN_THROUGHPUT_RATIO,
        ),
        checkBound(`failed of ${label}`, entry.failed, 'requests', 'exactly', 0),
      ];
    });
  }

  private async measure(
    fixture: PathFixture,
    { roles }: Subject,
    inFlight: number,
    bytes: number,
  ): Promise<Measured> {
    // The first address of each process is the one for callers.
    const phase = new LoadPhase({
      addresses: roles.flatMap(({ addresses }) => addresses.slice(0, 1)),
      path: '/v1/services/advice/requests',
      headers: { authorization: `Bearer ${fixture.teamKey}`, 'content-type': 'application/json' },
      body: Buffer.alloc(bytes, 'x'),
      inFlight,
      warmUpMs: WARM_UP_MS,
      durationMs: this.durationMs,
    });
    let cpuBeforeMs = 0;
    const figures = await phase.run(async () => {
      cpuBeforeMs = await cpuMsOf(roles);
    });
    const cpuMs = (await cpuMsOf(roles)) - cpuBeforeMs;
    return { ...figures, perCoreSecond: (figures.answered * SECOND_MS) / cpuMs };
  }

  private async printMemory({ name, roles }: Subject, when: string): Promise<void> {
    const usages = await Promise.all(roles.map((role) => role.usage()));
    const mean = (pick: (usage: (typeof usages)[number]) => number): string =>
      (usages.reduce((sum, usage) => sum + pick(usage), 0) / usages.length / BYTES_PER_MB).toFixed(
        1,
      );
    const rss = mean(({ rssBytes }) => rssBytes);
    const heap = mean(({ heapBytes }) => heapBytes);
    this.note(`${name} ${when}: resident ${rss} MB, heap ${heap} MB a process`);
  }
}

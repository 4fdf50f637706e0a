/**
 * Entries as processes that are killed and frozen under load, judged by what the targets saw: the
 * limit of the team, work that must run once, refusals that must be true, answers that must be
 * the caller's own.
 */
import { describe, it } from '@acaciadock/core/testing';
import { mostRunning } from '../TeamLoad.js';
import { type CallerAnswer, ProcessFleet } from './ProcessFleet.js';

const TEAM = 'bench-desk';
const LIMIT = 10;
const CALLERS_PER_ENTRY = 6;
const RUN_MS = 60;
const BEFORE_MS = 1_000;
const FROZEN_MS = 5_000;
const AFTER_MS = 4_000;
/** Idempotent, and not. */
const SERVICES = { advice: { idempotent: true }, filing: { idempotent: false } };

interface Ended {
  readonly serviceId: string;
  readonly entryIndex: number;
  readonly answer: CallerAnswer;
}

/** Callers that ask again and again until told to stop; lost connections have no answer. */
class Callers {
  readonly ended: Ended[] = [];

  private going = true;

  private readonly loops: Promise<void>[];

  constructor(private readonly fleet: ProcessFleet) {
    const services = Object.keys(SERVICES);
    this.loops = fleet.entries.flatMap((_, entryIndex) =>
      Array.from({ length: CALLERS_PER_ENTRY }, (__, index) =>
        this.loop(entryIndex, services[index % services.length] ?? ''),
      ),
    );
  }

  async stop(): Promise<void> {
    this.going = false;
    await Promise.all(this.loops);
  }

  private async loop(entryIndex: number, serviceId: string): Promise<void> {
    while (this.going) {
      const answer = await this.fleet.send(entryIndex, TEAM, serviceId).catch(() => undefined);
      if (answer) this.ended.push({ serviceId, entryIndex, answer });
      await this.fleet.clock.sleep(10);
    }
  }
}

function executedOf(answer: CallerAnswer): unknown {
  return (answer.body as { executed?: unknown }).executed;
}

describe('entries that are killed and frozen under load', () => {
  it('keep the limit, run filings once, refuse truthfully and answer their own callers', async (t) => {
    const fleet = await ProcessFleet.start({
      entryCount: 4,
      targetCount: 4,
      teams: { [TEAM]: { share: 1, limit: LIMIT } },
      services: SERVICES,
    });
    fleet.targets.forEach((target) => Object.assign(target, { runMs: () => RUN_MS }));
    const callers = new Callers(fleet);
    try {
      await fleet.clock.sleep(BEFORE_MS);
      await fleet.entries[1]?.kill();
      fleet.entries[2]?.freeze();
      await fleet.clock.sleep(FROZEN_MS);
      fleet.entries[2]?.thaw();
      await fleet.clock.sleep(AFTER_MS);
      await callers.stop();

      const runs = fleet.targets.flatMap((target) => target.runs);
      const runIds = runs.map(({ requestId }) => requestId);
      const most = mostRunning(fleet);
      t.ok(most <= LIMIT, `at most ${LIMIT} ran at once, ${most} seen`);

      const answered = callers.ended.filter(({ answer }) => answer.statusCode === 200);
      t.ok(answered.length > 100, `the load was real: ${answered.length} answered`);
      const foreign = answered.filter(
        ({ answer }) => (answer.body as { requestId?: string }).requestId !== answer.requestId,
      );
      t.equal(foreign.length, 0, 'every answer is the caller’s own');
      const ran = new Set(runIds);
      const untrue = callers.ended.filter(
        ({ answer }) => executedOf(answer) === 'no' && ran.has(answer.requestId),
      );
      t.equal(untrue.length, 0, '"not run" is true');

      const filings = new Set(
        callers.ended
          .filter(({ serviceId }) => serviceId === 'filing')
          .map(({ answer }) => answer.requestId),
      );
      const filingRuns = runIds.filter((requestId) => filings.has(requestId));
      t.equal(filingRuns.length, new Set(filingRuns).size, 'no filing ran twice');

      const last = callers.ended.slice(-50).filter(({ answer }) => answer.statusCode === 200);
      t.ok(last.length > 25, `most are answered again afterwards: ${last.length} of 50`);
    } finally {
      await fleet.stop();
    }
  });
});

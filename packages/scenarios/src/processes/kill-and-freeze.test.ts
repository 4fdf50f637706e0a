/**
 * Kills one entry process and freezes another under load. The targets' records must show that the
 * team's limit held, that no non-idempotent request ran twice, that work reported as not run did
 * not run, and that every caller received the answer to its own request.
 */
import { describe, it } from '@acaciadock/core/testing';
import { maxConcurrentRuns } from '../TeamLoad.js';
import { type DecodedAnswer, ProcessFleet } from './ProcessFleet.js';

const TEAM = 'bench-desk';
const LIMIT = 10;
const CALLERS_PER_ENTRY = 6;
const RUN_MS = 60;
const WARM_UP_MS = 1_000;
const FROZEN_MS = 5_000;
const RECOVERY_MS = 4_000;
/** One idempotent and one non-idempotent service. */
const SERVICES = { advice: { idempotent: true }, filing: { idempotent: false } };

interface EndedRequest {
  readonly serviceId: string;
  readonly entryIndex: number;
  readonly answer: DecodedAnswer;
}

/** Callers that send requests in a loop until `stop`; a lost connection records no answer. */
class Callers {
  readonly ended: EndedRequest[] = [];

  private isActive = true;

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
    this.isActive = false;
    await Promise.all(this.loops);
  }

  private async loop(entryIndex: number, serviceId: string): Promise<void> {
    while (this.isActive) {
      const answer = await this.fleet.send(entryIndex, TEAM, serviceId).catch(() => undefined);
      if (answer) this.ended.push({ serviceId, entryIndex, answer });
      await this.fleet.clock.sleep(10);
    }
  }
}

function executedOf(answer: DecodedAnswer): unknown {
  return (answer.body as { executed?: unknown }).executed;
}

describe('entries that are killed and frozen under load', () => {
  it('keep the limit, run filings once, report refusals correctly and answer each caller', async (t) => {
    const fleet = await ProcessFleet.start({
      entryCount: 4,
      targetCount: 4,
      teams: { [TEAM]: { share: 1, limit: LIMIT } },
      services: SERVICES,
    });
    fleet.targets.forEach((target) => Object.assign(target, { runMs: () => RUN_MS }));
    const callers = new Callers(fleet);
    try {
      await fleet.clock.sleep(WARM_UP_MS);
      await fleet.entries[1]?.kill();
      fleet.entries[2]?.freeze();
      await fleet.clock.sleep(FROZEN_MS);
      fleet.entries[2]?.thaw();
      await fleet.clock.sleep(RECOVERY_MS);
      await callers.stop();

      const runs = fleet.targets.flatMap((target) => target.runs);
      const runIds = runs.map(({ requestId }) => requestId);
      const maxRunning = maxConcurrentRuns(fleet);
      t.ok(maxRunning <= LIMIT, `expected at most ${LIMIT} runs at once, saw ${maxRunning}`);

      const answered = callers.ended.filter(({ answer }) => answer.statusCode === 200);
      t.ok(answered.length > 100, `expected more than 100 answers, got ${answered.length}`);
      const foreign = answered.filter(
        ({ answer }) => (answer.body as { requestId?: string }).requestId !== answer.requestId,
      );
      t.equal(foreign.length, 0, 'every caller received the answer to its own request');
      const ran = new Set(runIds);
      const falseRefusals = callers.ended.filter(
        ({ answer }) => executedOf(answer) === 'no' && ran.has(answer.requestId),
      );
      t.equal(falseRefusals.length, 0, 'no request that was reported as not run did run');

      const filings = new Set(
        callers.ended
          .filter(({ serviceId }) => serviceId === 'filing')
          .map(({ answer }) => answer.requestId),
      );
      const filingRuns = runIds.filter((requestId) => filings.has(requestId));
      t.equal(filingRuns.length, new Set(filingRuns).size, 'no filing ran twice');

      const last = callers.ended.slice(-50).filter(({ answer }) => answer.statusCode === 200);
      t.ok(
        last.length > 25,
        `expected more than half of the last 50 requests to succeed, got ${last.length}`,
      );
    } finally {
      await fleet.stop();
    }
  });
});

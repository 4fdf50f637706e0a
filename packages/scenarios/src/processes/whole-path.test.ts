/** Requests from callers to targets through entries that run as separate processes. */
import { describe, it } from '@acaciadock/core/testing';
import { type DecodedAnswer, ProcessFleet } from './ProcessFleet.js';

const TEAM = 'bench-desk';
const SERVICE = 'advice';
const REQUESTS = 30;

async function sendMany(
  fleet: ProcessFleet,
  entryIndexes: readonly number[],
): Promise<DecodedAnswer[]> {
  const sends = Array.from({ length: REQUESTS }, (_, index) =>
    fleet.send(entryIndexes[index % entryIndexes.length] ?? 0, TEAM, SERVICE),
  );
  return Promise.all(sends);
}

describe('entries as separate processes', () => {
  it('return to each request its own answer, and stop gracefully', async (t) => {
    const fleet = await ProcessFleet.start({
      entryCount: 3,
      targetCount: 4,
      teams: { [TEAM]: { share: 1, limit: 24 } },
    });
    try {
      const answers = await sendMany(fleet, [0, 1, 2]);
      t.same(new Set(answers.map(({ statusCode }) => statusCode)), new Set([200]));
      answers.forEach(({ requestId, body }) => t.match(body, { requestId }));
      const runs = fleet.targets.flatMap((target) => target.runs.map((run) => run.requestId));
      t.equal(new Set(runs).size, REQUESTS);
      t.same(await fleet.entries[0]?.stop(), { code: 0, signal: null });
    } finally {
      await fleet.stop();
    }
  });
});

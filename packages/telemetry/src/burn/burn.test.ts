/**
 * The burn report must stay correct when entries are replaced, when appends to the log fail, and
 * when a summary is appended twice.
 */
import { EventEmitter, Random, type RequestOutcome, SystemClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { type ConfigState, ConfigView, type ConfigDocument } from '@acaciadock/config';
import { HttpLogService, HttpPlatformClient, BURN_STREAM } from '@acaciadock/platform';
import { exampleDocument, LogStandIn } from '@acaciadock/testkit';
import { type BurnAlert, BurnAlerts } from './BurnAlerts.js';
import { HOUR_MS, MINUTE_MS, BurnHistory } from './BurnHistory.js';
import { BurnRecorder } from './BurnRecorder.js';
import { buildBurnReport, burnRate } from './BurnReport.js';
import { type BurnSummary } from './BurnSummary.js';
import { classifyOutcome } from './classifyOutcome.js';
import { buildShareReport } from './ShareReport.js';

const SERVICE = 'advice';
const START_MS = 1_800_000_000_000 - (1_800_000_000_000 % HOUR_MS);

const document: ConfigDocument = exampleDocument({
  targets: [],
  teams: { big: { share: 3, limit: 10 }, small: { share: 1, limit: 10 } },
});

class FixedConfig extends ConfigView {
  override readonly onChange = new EventEmitter<ConfigState>().event;

  override state(): ConfigState {
    return { version: 1, offset: 0, document };
  }
}

function outcome(change: Partial<RequestOutcome> = {}): RequestOutcome {
  return {
    requestId: 'r',
    serviceId: SERVICE,
    teamId: 'big',
    urgency: 'urgent',
    ok: true,
    problemType: undefined,
    executed: 'yes',
    attempts: 1,
    queuedMs: 0,
    totalMs: 100,
    targetId: 't1',
    zoneId: 'zone-a',
    ...change,
  };
}

const failed = outcome({ ok: false, problemType: 'target-failed', executed: 'yes' });

function summary(change: Partial<BurnSummary> = {}): BurnSummary {
  return {
    kind: 'burn-summary',
    schemaVersion: 1,
    entryId: 'e1',
    incarnation: 'i1',
    sequence: 0,
    minuteStartMs: START_MS,
    services: { [SERVICE]: { total: 100, bad: 1, slow: 0, causes: [] } },
    teams: {},
    ...change,
  };
}

const CLASSES = [
  { name: 'an answer within the latency objective', change: {}, expected: 'good' },
  { name: 'an answer after the latency objective', change: { totalMs: 2_001 }, expected: 'slow' },
  { name: 'a failed run', change: { ok: false, problemType: 'target-failed' }, expected: 'bad' },
  {
    name: 'a request refused under overload',
    change: { ok: false, problemType: 'queue-full' },
    expected: 'bad',
  },
  {
    name: 'a request with a wrong key',
    change: { ok: false, problemType: 'key-not-valid' },
    expected: 'not-counted',
  },
  {
    name: 'a request that the caller cancelled',
    change: { ok: false, problemType: 'cancelled' },
    expected: 'not-counted',
  },
];

describe('service-level burn', () => {
  describe('classifyOutcome', () => {
    CLASSES.forEach(({ name, change, expected }) => {
      it(name, (t) => {
        t.equal(classifyOutcome(outcome(change), 2_000), expected);
      });
    });
  });

  describe('burnRate', () => {
    it('is 1 when the error ratio equals the ratio that the objective allows', (t) => {
      t.ok(Math.abs(burnRate(1, 1_000, 0.999) - 1) < 1e-9);
    });

    it('is 0 without requests', (t) => {
      t.equal(burnRate(0, 0, 0.999), 0);
    });
  });

  describe('BurnHistory', () => {
    it('counts a repeated summary once', (t) => {
      const history = new BurnHistory();
      t.equal(history.add(summary()), true);
      t.equal(history.add(summary()), false);
      t.equal(history.service(SERVICE, HOUR_MS, START_MS + MINUTE_MS).total, 100);
    });

    it('counts summaries of different entries and incarnations separately', (t) => {
      const history = new BurnHistory();
      history.add(summary());
      history.add(summary({ entryId: 'e2' }));
      history.add(summary({ incarnation: 'i2' }));
      t.equal(history.service(SERVICE, HOUR_MS, START_MS + MINUTE_MS).total, 300);
    });

    it('deletes minute buckets after six hours and hour buckets after three days', (t) => {
      const history = new BurnHistory();
      history.add(summary());
      const laterMs = START_MS + 7 * HOUR_MS;
      history.add(summary({ sequence: 1, minuteStartMs: laterMs }));
      t.equal(history.service(SERVICE, 6 * HOUR_MS, laterMs).total, 100);
      t.equal(history.service(SERVICE, 72 * HOUR_MS, laterMs).total, 200);
      const muchLaterMs = START_MS + 80 * HOUR_MS;
      history.add(summary({ sequence: 2, minuteStartMs: muchLaterMs }));
      t.equal(history.hourly(SERVICE).length, 2);
    });
  });

  describe('BurnAlerts', () => {
    it('raises once while both windows burn, and clears when the short one recovers', (t) => {
      const history = new BurnHistory();
      const alerts = new BurnAlerts();
      const seen: BurnAlert[] = [];
      alerts.onAlert((alert) => seen.push(alert));
      const burning = { [SERVICE]: { total: 100, bad: 50, slow: 0, causes: [] } };
      history.add(summary({ services: burning }));
      alerts.evaluate(buildBurnReport(document, history, START_MS + MINUTE_MS));
      alerts.evaluate(buildBurnReport(document, history, START_MS + 2 * MINUTE_MS));
      const pages = seen.filter(({ longWindow }) => longWindow === '1h');
      t.match(pages, [{ state: 'raised', severity: 'page', objective: 'availability' }]);
      alerts.evaluate(buildBurnReport(document, history, START_MS + 10 * MINUTE_MS));
      t.match(seen.at(-1), { state: 'cleared', longWindow: '1h' });
    });
  });

  describe('ShareReport', () => {
    it('compares the run time of active teams with the portions that they are entitled to', (t) => {
      const history = new BurnHistory();
      const teams = {
        big: { runMs: 600, answered: 6, refused: 0 },
        small: { runMs: 400, answered: 4, refused: 2 },
      };
      history.add(summary({ teams }));
      const report = buildShareReport(document, history, START_MS + MINUTE_MS);
      t.match(report.teams, [
        { teamId: 'big', portion: 0.75, got: 0.6 },
        { teamId: 'small', portion: 0.25, got: 0.4, refused: 2 },
      ]);
    });
  });

  describe('BurnRecorder', () => {
    async function withLog(
      body: (log: LogStandIn, open: (entryId: string) => BurnRecorder) => Promise<void>,
    ): Promise<void> {
      const log = new LogStandIn(new SystemClock());
      await log.listen();
      const client = new HttpPlatformClient(`http://${log.address}`);
      const recorders: BurnRecorder[] = [];
      const open = (entryId: string): BurnRecorder => {
        const recorder = new BurnRecorder(
          { entryId, incarnation: `${entryId}-1` },
          new FixedConfig(),
          new HttpLogService(client),
          new SystemClock(),
          new Random(1),
        );
        recorders.push(recorder);
        return recorder;
      };
      try {
        await body(log, open);
      } finally {
        recorders.forEach((recorder) => recorder.dispose());
        await client.close();
        await log.close();
      }
    }

    it('merges the summaries of all entries, also in an entry that starts later', async (t) => {
      await withLog(async (_, open) => {
        const first = open('e1');
        const second = open('e2');
        first.record(outcome());
        second.record(failed);
        await first.flush();
        await second.flush();
        const replacement = open('e3');
        await replacement.read();
        const report = buildBurnReport(document, replacement.history, Date.now());
        t.match(report.services[0]?.windows[0], { total: 2, bad: 1 });
        t.match(report.services[0]?.causes, [
          {
            problemType: 'target-failed',
            teamId: 'big',
            targetId: 't1',
            zoneId: 'zone-a',
            count: 1,
          },
        ]);
      });
    });

    const LOG_FAULTS = [
      { name: 'is refused', faults: { refuseAppends: 1 } },
      { name: 'loses its answer after it took effect', faults: { loseAppendAnswers: 1 } },
    ];
    LOG_FAULTS.forEach(({ name, faults }) => {
      it(`counts each request once when an append ${name}`, async (t) => {
        await withLog(async (log, open) => {
          const recorder = open('e1');
          Object.assign(log.faults, faults);
          recorder.record(failed);
          await recorder.flush();
          await recorder.flush();
          const report = buildBurnReport(document, recorder.history, Date.now());
          t.match(report.services[0]?.windows[0], { total: 1, bad: 1 });
          t.ok(log.records(BURN_STREAM).length >= 1);
        });
      });
    });

    it('appends nothing while no request was recorded', async (t) => {
      await withLog(async (log, open) => {
        await open('e1').flush();
        t.equal(log.appendCount, 0);
      });
    });
  });
});

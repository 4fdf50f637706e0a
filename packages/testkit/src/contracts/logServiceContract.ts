/** Contract tests for adapters of the log service, including a table of faults. */
import { describe, it } from '@acaciadock/core/testing';
import { type LogService } from '@acaciadock/platform';

const STREAM = 'contract.stream';
const OTHER_STREAM = 'contract.other';
const LONG_WAIT_MS = 20_000;
const SHORT_WAIT_MS = 60;

/** Faults between a client and the log. With the first two, the call does not take effect. */
export type LogFault =
  'unreachable' | 'refused' | 'answer lost' | 'answer cut' | 'answer no JSON' | 'answer misshaped';

export abstract class LogHarness {
  abstract readonly log: LogService;

  /** Faults that can occur with this adapter. */
  abstract readonly faults: readonly LogFault[];

  /** Injects a fault into the next call; `unreachable` lasts until `clearFaults`. */
  abstract cause(fault: LogFault): Promise<void>;

  /** Makes the log reachable again. */
  abstract clearFaults(): Promise<void>;

  /** Expires all records of a stream before `offset`. */
  abstract expireBefore(stream: string, offset: number): void;

  /** Number of records of a stream in the log. */
  abstract count(stream: string): number;

  abstract close(): Promise<void>;
}

/** Error kinds expected of an append and a read under a fault; `read` is empty if not tested. */
interface FaultCase {
  readonly fault: LogFault;
  readonly append: readonly string[];
  /** Number of records in the log after the append. */
  readonly appended: number;
  readonly read: readonly string[];
}

const FAULT_CASES: readonly FaultCase[] = [
  { fault: 'unreachable', append: ['log-unreachable'], appended: 0, read: ['log-unreachable'] },
  { fault: 'refused', append: ['log-refused'], appended: 0, read: [] },
  { fault: 'answer lost', append: ['append-unknown'], appended: 1, read: ['log-unreachable'] },
  { fault: 'answer cut', append: ['append-unknown'], appended: 1, read: ['log-unreachable'] },
  { fault: 'answer no JSON', append: ['append-unknown'], appended: 1, read: ['log-malformed'] },
  { fault: 'answer misshaped', append: ['append-unknown'], appended: 1, read: ['log-malformed'] },
];

const page = (fromOffset: number, maxRecords = 100, waitMs = 0) => ({
  stream: STREAM,
  fromOffset,
  maxRecords,
  waitMs,
});

function withHarness(
  open: () => Promise<LogHarness>,
  body: (harness: LogHarness) => Promise<void>,
): () => Promise<void> {
  return async () => {
    const harness = await open();
    try {
      await body(harness);
    } finally {
      await harness.close();
    }
  };
}

/** Registers the contract tests for an adapter. */
export function describeLogService(name: string, open: () => Promise<LogHarness>): void {
  describe(`${name} as a log service`, () => {
    it('appends payloads as a unit and reads them back in order', (t) =>
      withHarness(open, async ({ log }) => {
        const payloads = [{ a: 1 }, 'text', [null, 2.5], { nested: { ä: '✓' } }];
        t.match(await log.append(STREAM, payloads), { value: { firstOffset: 0, count: 4 } });
        t.match(await log.append(STREAM, ['last']), { value: { firstOffset: 4, count: 1 } });
        const read = await log.read(page(0));
        const records = read.isOk() ? read.value.records : [];
        t.same(
          records.map(({ offset, payload }) => [offset, payload]),
          [...payloads, 'last'].map((payload, offset) => [offset, payload]),
        );
        t.ok(records.every(({ appendedAtMs }) => Number.isSafeInteger(appendedAtMs)));
        t.match(read, { value: { nextOffset: 5, endOffset: 5 } });
      })());

    it('returns no more records than requested, and the end of the stream', (t) =>
      withHarness(open, async ({ log }) => {
        await log.append(STREAM, [0, 1, 2, 3]);
        const read = await log.read(page(1, 2));
        t.match(read, {
          value: { records: [{ offset: 1 }, { offset: 2 }], nextOffset: 3, endOffset: 4 },
        });
      })());

    it('returns an empty page at the end of the stream after the wait', (t) =>
      withHarness(open, async ({ log }) => {
        await log.append(STREAM, [0]);
        const read = await log.read(page(1, 10, SHORT_WAIT_MS));
        t.match(read, { value: { records: [], nextOffset: 1, endOffset: 1 } });
      })());

    it('answers a waiting read as soon as a record is appended', (t) =>
      withHarness(open, async ({ log }) => {
        const waiting = log.read(page(0, 10, LONG_WAIT_MS));
        await log.append(OTHER_STREAM, ['elsewhere']);
        await log.append(STREAM, ['here']);
        t.match(await waiting, { value: { records: [{ offset: 0, payload: 'here' }] } });
      })());

    it('reports the first available offset when the requested one has expired', (t) =>
      withHarness(open, async (harness) => {
        await harness.log.append(STREAM, [0, 1, 2]);
        harness.expireBefore(STREAM, 2);
        t.match(await harness.log.read(page(0)), {
          error: { kind: 'offset-expired', firstOffset: 2 },
        });
        t.match(await harness.log.read(page(2)), { value: { records: [{ payload: 2 }] } });
        harness.expireBefore(STREAM, 3);
        t.match(await harness.log.append(STREAM, [3]), { value: { firstOffset: 3 } });
      })());

    FAULT_CASES.forEach(({ fault, append, appended, read }) => {
      it(`reports the outcome correctly after a fault: ${fault}`, (t) =>
        withHarness(open, async (harness) => {
          if (!harness.faults.includes(fault)) {
            t.pass('the fault cannot occur with this adapter');
            return;
          }
          await harness.cause(fault);
          const result = await harness.log.append(STREAM, ['x']);
          t.same(result.isErr() ? [result.error.kind] : [], append);
          t.equal(harness.count(STREAM), appended);
          await harness.clearFaults();
          if (read.length > 0) {
            await harness.cause(fault);
            const readBack = await harness.log.read(page(0));
            t.same(readBack.isErr() ? [readBack.error.kind] : [], read);
            await harness.clearFaults();
          }
          t.match(await harness.log.read(page(0)), { value: { endOffset: appended } });
        })());
    });
  });
}

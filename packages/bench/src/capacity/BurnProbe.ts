/**
 * Measures the reporter: a burn history of three days with one summary per hour and six further hours
 * with one per minute, and the merge of one more summary into it.
 */
import { BurnHistory, type BurnSummary, HOUR_MS, MINUTE_MS } from '@acaciadock/telemetry';
import { heapBytes, type RoleCost, RoleProbe, meanCpuUs } from './RoleProbe.js';

const HOURLY_SUMMARIES = 72;
const MINUTE_SUMMARIES = 360;
const MEASURED_SUMMARIES = 50;

function summary(services: number, sequence: number, minuteStartMs: number): BurnSummary {
  const tally = {
    total: 1_000,
    bad: 1,
    slow: 2,
    causes: [{ problemType: 'target-failed', count: 1 }],
  };
  return {
    kind: 'burn-summary',
    schemaVersion: 1,
    entryId: 'e1',
    incarnation: 'i1',
    sequence,
    minuteStartMs,
    services: Object.fromEntries(
      Array.from({ length: services }, (_, index) => [`service-${index}`, tally]),
    ),
    teams: {},
  };
}

export class BurnProbe extends RoleProbe {
  override readonly role = 'reporter';

  override readonly sizeUnit = 'service';

  override readonly operation = 'merge one summary';

  override readonly sizes = [5, 60, 120, 240];

  override readonly statedSize = 240;

  override measure(size: number): RoleCost {
    const before = heapBytes();
    const history = new BurnHistory();
    let sequence = 0;
    const add = (minuteStartMs: number): void => {
      history.add(summary(size, sequence, minuteStartMs));
      sequence += 1;
    };
    for (let hour = 0; hour < HOURLY_SUMMARIES; hour += 1) add(hour * HOUR_MS);
    const lastMs = HOURLY_SUMMARIES * HOUR_MS;
    for (let minute = 0; minute < MINUTE_SUMMARIES; minute += 1) add(lastMs + minute * MINUTE_MS);
    const heap = heapBytes() - before;
    const operationUs = meanCpuUs(MEASURED_SUMMARIES, () =>
      add(lastMs + MINUTE_SUMMARIES * MINUTE_MS),
    );
    return { heapBytes: heap, operationUs };
  }
}

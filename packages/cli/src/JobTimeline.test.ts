/** Tests that the timeline of a job is assembled from the logs of several entries. */
import { describe, it } from '@acaciadock/core/testing';
import { JobTimeline } from './JobTimeline.js';

function line(second: number, msg: string, fields: Record<string, unknown> = {}): string {
  const time = `2026-12-04T02:00:${String(second).padStart(2, '0')}.000Z`;
  return JSON.stringify({ name: 'acaciadockd', entryId: 'e1', msg, time, ...fields });
}

const LOG_1 = [
  line(10, 'job-accepted', { jobId: 'abc', outcome: 'durable' }),
  line(11, 'order', { jobId: 'abc', taskId: 'abc.0.0.1', targetId: 't1', outcome: 'accepted' }),
  line(12, 'target-silent', { targetId: 't1' }),
  line(12, 'target-silent', { targetId: 't9' }),
  line(40, 'ownership-ended', { reason: 'fenced' }),
  'not a line of ours',
].join('\n');
const LOG_2 = [
  line(13, 'ownership-claimed', { epoch: 7 }),
  line(14, 'run-ended', { jobId: 'abc', taskId: 'abc.0.0.1', end: 'lapsed' }),
  line(14, 'job-accepted', { jobId: 'other' }),
].join('\n');

describe('JobTimeline', () => {
  it('merges the logs by time and includes the system events around the job', (t) => {
    const timeline = new JobTimeline('abc', [LOG_2, LOG_1]);
    t.same(
      timeline.lines.map(({ msg }) => msg),
      ['job-accepted', 'order', 'target-silent', 'ownership-claimed', 'run-ended'],
    );
    t.match(timeline.render(), /~ e1 ownership-claimed epoch=7/);
  });

  it('is empty when no log line refers to the job', (t) => {
    t.ok(new JobTimeline('nobody', [LOG_1]).isEmpty);
  });
});

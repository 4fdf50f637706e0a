/** Metrics derived from logged events. */
import { describe, it } from '@acaciadock/core/testing';
import { EventMetrics } from './EventMetrics.js';

describe('EventMetrics', () => {
  it('counts events by outcome and exposes latency quantiles', async (t) => {
    const metrics = new EventMetrics();
    metrics.note('order', { outcome: 'accepted' });
    metrics.note('order', { outcome: 'accepted' });
    metrics.note('call', { status: 200, tookMs: 12 });
    metrics.note('zone-evacuation-progress', { zones: 2, runs: 5 });
    const parts = [{ part: 'placement', totalMs: 120.5, longestMs: 3, count: 90 }];
    metrics.note('owner-load', { busyShare: 0.93, timerDelayMs: 64, parts });
    metrics.note('owner-load', { busyShare: 0.97, timerDelayMs: 41, parts });
    const text = await metrics.text();
    t.match(text, /acaciadock_events_total\{event="order",outcome="accepted"\} 2/);
    t.match(text, /acaciadock_events_total\{event="call",outcome="200"\} 1/);
    t.match(text, /acaciadock_event_latency_ms\{event="call",quantile="0.99"\} 12/);
    t.match(text, /acaciadock_evacuated_zones 2/);
    t.match(text, /acaciadock_evacuation_runs_left 5/);
    t.match(text, /acaciadock_owner_busy_share 0.97/);
    t.match(text, /acaciadock_owner_timer_delay_ms 41/);
    t.match(text, /acaciadock_owner_work_ms_total\{part="placement"\} 241/);
  });
});

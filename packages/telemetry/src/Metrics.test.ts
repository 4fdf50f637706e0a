import { type RequestOutcome } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { Metrics } from './Metrics.js';

function outcome(queuedMs: number): RequestOutcome {
  return {
    requestId: 'r',
    serviceId: 'advice',
    teamId: 'team-1',
    urgency: 'urgent',
    ok: true,
    problemType: undefined,
    executed: 'yes',
    attempts: 1,
    queuedMs,
    totalMs: queuedMs + 50,
    targetId: 't1',
    zoneId: 'zone-a',
  };
}

describe('Metrics', () => {
  it('counts requests and exposes quantiles of their latency', async (t) => {
    const metrics = new Metrics();
    Array.from({ length: 100 }, (_, index) => metrics.record(outcome(index)));
    const text = await metrics.text();
    t.match(
      text,
      /acaciadock_requests_total\{service="advice",urgency="urgent",end="answered",executed="yes"\} 100/,
    );
    t.match(
      text,
      /acaciadock_request_latency_ms\{service="advice",part="queued",quantile="0.5"\} (49|50)/,
    );
    t.match(
      text,
      /acaciadock_request_latency_ms\{service="advice",part="total",quantile="1"\} 149/,
    );
  });

  it('reads a gauge when the metrics are scraped', async (t) => {
    const metrics = new Metrics();
    let value = 1;
    metrics.addGauge('acaciadock_test', 'A gauge.', () => value);
    value = 5;
    t.match(await metrics.text(), /acaciadock_test 5/);
  });
});

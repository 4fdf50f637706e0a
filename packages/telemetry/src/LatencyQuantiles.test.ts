/** Latency quantiles of each label set in the Prometheus text format. */
import { describe, it } from '@acaciadock/core/testing';
import { Registry } from 'prom-client';
import { LatencyQuantiles } from './LatencyQuantiles.js';

const HIGHEST_MS = 1_000;

async function textAfter(record: (latencies: LatencyQuantiles) => void): Promise<string> {
  const registry = new Registry();
  const latencies = new LatencyQuantiles({
    name: 'took_ms',
    help: 'x',
    labelNames: ['kind'],
    registry,
    highestMs: HIGHEST_MS,
  });
  record(latencies);
  return registry.metrics();
}

describe('LatencyQuantiles', () => {
  it('keeps a separate histogram for each label set', async (t) => {
    const text = await textAfter((latencies) => {
      latencies.record({ kind: 'a' }, 10);
      latencies.record({ kind: 'b' }, 90);
    });
    t.match(text, /took_ms\{kind="a",quantile="0.99"\} 10/);
    t.match(text, /took_ms\{kind="b",quantile="0.99"\} 90/);
  });

  it('clamps values that are out of range', async (t) => {
    const text = await textAfter((latencies) => {
      latencies.record({ kind: 'a' }, -3);
      latencies.record({ kind: 'b' }, 1e9);
    });
    t.match(text, /took_ms\{kind="a",quantile="1"\} 0/);
    t.match(text, /took_ms\{kind="b",quantile="1"\} 100\d/);
  });
});

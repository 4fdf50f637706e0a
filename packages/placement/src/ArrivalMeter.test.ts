/** Checks the measured rate of arriving work at the start of a turn and between turns. */
import { Random } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { ArrivalMeter } from './ArrivalMeter.js';
import { ResourceVector } from './ResourceVector.js';

/** A job of 20 core-seconds on average, with sizes between a tenth and twice of that. */
function jobWork(random: Random): ResourceVector {
  return new ResourceVector(20_000_000 * (0.1 + 1.8 * random.next()), 0, 0);
}

/** Plays arrivals at a fixed rate and returns the measured rate, in cores, after each job. */
function play(meter: ArrivalMeter, jobsPerS: number, fromMs: number, forMs: number): number[] {
  const random = new Random(7);
  const rates: number[] = [];
  const gapMs = 1_000 / jobsPerS;
  for (let nowMs = fromMs; nowMs < fromMs + forMs; nowMs += gapMs) {
    meter.note(jobWork(random), nowMs);
    rates.push(meter.rate(nowMs).cpuMilli / 1_000);
  }
  return rates;
}

describe('the measured rate of arrivals', () => {
  it('shows most of a turn within half a second of its start', (t) => {
    // Fails if instances for a turn are ordered only as a slow mean rises: after 0.5 s it shows 28 %.
    const meter = new ArrivalMeter();
    const rates = play(meter, 60, 10_000, 500);
    const shown = (rates.at(-1) ?? 0) / (60 * 20);
    t.ok(shown > 0.5, `${shown.toFixed(2)} of the rate`);
  });

  it('stays near the mean while the rate is steady', (t) => {
    // Fails if the fast rate's scatter asks for instances that the work never needs.
    const meter = new ArrivalMeter();
    const rates = play(meter, 60, 10_000, 10_000).slice(300);
    const most = Math.max(...rates) / (60 * 20);
    t.ok(most < 1.15, `at most ${most.toFixed(2)} of the rate`);
  });

  it('does not take one large job for a turn', (t) => {
    // Fails if the fast rate counts without its statistical error: one job shows as 50 cores.
    const meter = new ArrivalMeter();
    meter.note(new ResourceVector(20_000_000, 0, 0), 10_000);
    const cores = meter.rate(10_000).cpuMilli / 1_000;
    t.ok(cores < 14, `${cores.toFixed(1)} cores`);
  });
});

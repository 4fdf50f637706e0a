/** Guards against crashes that go unnoticed, and against ends of runs that may be alive. */
import { describe, it } from '@acaciadock/core/testing';
import { type FleetInstance } from './contracts/index.js';
import { ReplacementMonitor } from './ReplacementMonitor.js';
import { RunFixture } from './testing/RunFixture.js';

function instance(instanceId: string, targetId: string): FleetInstance {
  return {
    instanceId,
    poolId: 'pool',
    state: targetId === '' ? 'down' : 'up',
    zoneId: 'z',
    rackId: 'r',
    labels: [],
    capacity: { cpuMilli: 4_000, memoryMb: 64_000, gpuCount: 0 },
    targetId,
  };
}

describe('ReplacementMonitor', () => {
  it('ends the runs of a target once another one is on its instance', (t) => {
    const fixture = new RunFixture(2);
    const monitor = new ReplacementMonitor(fixture.targets, fixture.crashes);
    const job = fixture.accept('a');
    fixture.start(job, 't0');
    monitor.compare([instance('m0', 't0')]);
    monitor.compare([instance('m0', 't1')]);
    t.match(job.find(0, 0, 0)?.task, { crashes: 1, runs: [] });
    t.match(fixture.logger.of('target-crashed'), [{ targetId: 't0', reason: 'replaced' }]);
  });

  it('waits while the instance is down or missing, as its target may only be cut off', (t) => {
    const fixture = new RunFixture(1);
    const monitor = new ReplacementMonitor(fixture.targets, fixture.crashes);
    const job = fixture.accept('a');
    fixture.start(job, 't0');
    monitor.compare([instance('m0', 't0')]);
    monitor.compare([instance('m0', '')]);
    monitor.compare([]);
    t.equal(job.find(0, 0, 0)?.task.runs.length, 1);
    monitor.compare([instance('m0', 't0')]);
    t.equal(job.find(0, 0, 0)?.task.runs.length, 1);
  });

  it('counts no crash if the instance was emptied for an order', (t) => {
    const fixture = new RunFixture(2);
    const monitor = new ReplacementMonitor(fixture.targets, fixture.crashes);
    const job = fixture.accept('a');
    fixture.start(job, 't0');
    Object.assign(fixture.target('t0'), { isReserved: true });
    monitor.compare([instance('m0', 't0')]);
    monitor.compare([instance('m0', 't1')]);
    t.match(job.find(0, 0, 0)?.task, { crashes: 0, runs: [] });
  });
});

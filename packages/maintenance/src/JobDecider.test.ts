import { describe, it } from '@acaciadock/core/testing';
import { type InstanceConfig } from '@acaciadock/config';
import { JobDecider, type JobFacts } from './JobDecider.js';
import { type Job } from './MaintenanceState.js';
import { fleetDocument } from './testing/fleetDocument.js';

const DOCUMENT = fleetDocument({
  pools: [
    { poolId: 'a', instances: 1, minServingInstances: 1 },
    { poolId: 's', instances: 1 },
  ],
  racks: 1,
});

function instance(fields: Partial<InstanceConfig> = {}): InstanceConfig {
  const known = DOCUMENT.instances.a0;
  if (!known) throw new Error('no such instance');
  return { ...known, intent: 'maintenance', ...fields };
}

const JOB: Job = {
  jobId: 'j',
  instanceId: 'a0',
  purpose: 'reboot',
  state: 'draining',
  sinceMs: 0,
  cancelled: false,
  rebooted: false,
};

const FACTS: JobFacts = {
  instance: instance(),
  pools: DOCUMENT.pools,
  drained: false,
  operation: undefined,
  passedChecks: 0,
  stateMs: 0,
  mustGiveWay: false,
  leaving: false,
};

const serving = instance({ intent: 'serving' });
const byOperator = instance({ intent: 'draining' });
const PROBE_TIMEOUT_MS = 1_000;
const late = { stateMs: PROBE_TIMEOUT_MS + 1 };

const CASES: readonly [string, Partial<Job>, Partial<JobFacts>, string][] = [
  ['an instance that is gone', {}, { instance: undefined }, 'drop'],
  ['still open', {}, { instance: serving }, 'close'],
  ['closed, with work', {}, {}, 'wait'],
  ['closed by an operator, drained', {}, { instance: byOperator, drained: true }, 'drained'],
  ['cancelled while draining', { cancelled: true }, {}, 'probing'],
  ['budget lost while draining', {}, { mustGiveWay: true }, 'probing'],
  ['drained', { state: 'drained' }, { drained: true }, 'rebooting'],
  ['drained, a successor has not seen it yet', { state: 'drained' }, {}, 'wait'],
  [
    'budget lost when drained',
    { state: 'drained' },
    { drained: true, mustGiveWay: true },
    'probing',
  ],
  ['opened by hand when drained', { state: 'drained' }, { instance: serving }, 'probing'],
  ['to be rebooted', { state: 'rebooting' }, {}, 'reboot'],
  ['to be rebooted, cancelled too late', { state: 'rebooting', cancelled: true }, {}, 'reboot'],
  ['under reboot', { state: 'rebooting' }, { operation: 'running' }, 'reboot'],
  ['rebooted', { state: 'rebooting' }, { operation: 'succeeded' }, 'probing'],
  ['reboot failed', { state: 'rebooting' }, { operation: 'failed' }, 'failed'],
  ['one check passed', { state: 'probing' }, { passedChecks: 1 }, 'check-health'],
  ['healthy, closed', { state: 'probing' }, { passedChecks: 2 }, 'reopen'],
  ['healthy, open', { state: 'probing' }, { passedChecks: 2, instance: serving }, 'serving'],
  [
    'healthy, an operator drains',
    { state: 'probing' },
    { passedChecks: 2, instance: byOperator },
    'serving',
  ],
  ['not healthy after a reboot', { state: 'probing', rebooted: true }, late, 'failed'],
  ['not healthy, was not rebooted', { state: 'probing' }, late, 'check-health'],
  ['move', { state: 'drained', purpose: 'move' }, { drained: true }, 'moving'],
  ['moving', { state: 'moving', toPoolId: 's' }, {}, 'change-pool'],
  [
    'moved to a spare pool',
    { state: 'moving', toPoolId: 's' },
    { instance: instance({ poolId: 's' }) },
    'spare',
  ],
  ['the pool to move to is gone', { state: 'moving', toPoolId: 'x' }, {}, 'probing'],
  ['leaving, drained', { state: 'drained', purpose: 'leave' }, { leaving: true }, 'wait'],
  ['no longer leaving', { state: 'drained', purpose: 'leave' }, {}, 'probing'],
  ['failed', { state: 'failed' }, {}, 'wait'],
];

describe('JobDecider', () => {
  const decider = new JobDecider({ checksToReturn: 2, probeTimeoutMs: PROBE_TIMEOUT_MS });
  CASES.forEach(([name, job, facts, expected]) => {
    it(`${name}: ${expected}`, (t) => {
      const action = decider.next({ ...JOB, ...job }, { ...FACTS, ...facts });
      t.equal(action.kind === 'transition' ? action.to : action.kind, expected);
    });
  });
});

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
  timeInStateMs: 0,
  mustCancel: false,
  leaving: false,
};

const serving = instance({ intent: 'serving' });
const byOperator = instance({ intent: 'draining' });
const PROBE_TIMEOUT_MS = 1_000;
const late = { timeInStateMs: PROBE_TIMEOUT_MS + 1 };

const CASES: readonly [string, Partial<Job>, Partial<JobFacts>, string][] = [
  ['instance removed from the configuration', {}, { instance: undefined }, 'drop'],
  ['draining, not closed yet', {}, { instance: serving }, 'close'],
  ['closed, with open runs', {}, {}, 'wait'],
  ['closed by an operator, drained', {}, { instance: byOperator, drained: true }, 'drained'],
  ['cancelled while draining', { cancelled: true }, {}, 'probing'],
  ['pool below its budget while draining', {}, { mustCancel: true }, 'probing'],
  ['drained', { state: 'drained' }, { drained: true }, 'rebooting'],
  ['drained, not yet confirmed by a new controller', { state: 'drained' }, {}, 'wait'],
  [
    'pool below its budget when drained',
    { state: 'drained' },
    { drained: true, mustCancel: true },
    'probing',
  ],
  ['reopened by an operator when drained', { state: 'drained' }, { instance: serving }, 'probing'],
  ['reboot recorded, not called yet', { state: 'rebooting' }, {}, 'reboot'],
  ['reboot recorded, cancelled too late', { state: 'rebooting', cancelled: true }, {}, 'reboot'],
  ['reboot in progress', { state: 'rebooting' }, { operation: 'running' }, 'reboot'],
  ['rebooted', { state: 'rebooting' }, { operation: 'succeeded' }, 'probing'],
  ['reboot failed', { state: 'rebooting' }, { operation: 'failed' }, 'failed'],
  ['one check passed', { state: 'probing' }, { passedChecks: 1 }, 'check-health'],
  ['healthy, closed', { state: 'probing' }, { passedChecks: 2 }, 'reopen'],
  ['healthy, open', { state: 'probing' }, { passedChecks: 2, instance: serving }, 'serving'],
  [
    'healthy, drained by an operator',
    { state: 'probing' },
    { passedChecks: 2, instance: byOperator },
    'serving',
  ],
  ['not healthy after a reboot', { state: 'probing', rebooted: true }, late, 'failed'],
  ['not healthy, not rebooted', { state: 'probing' }, late, 'check-health'],
  ['move', { state: 'drained', purpose: 'move' }, { drained: true }, 'moving'],
  ['moving', { state: 'moving', toPoolId: 's' }, {}, 'change-pool'],
  [
    'moved to a spare pool',
    { state: 'moving', toPoolId: 's' },
    { instance: instance({ poolId: 's' }) },
    'spare',
  ],
  ['destination pool removed', { state: 'moving', toPoolId: 'x' }, {}, 'probing'],
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

/** Contract tests for adapters of the platform's instance control, including a table of faults. */
import { describe, it } from '@acaciadock/core/testing';
import { type InstanceControl } from '@acaciadock/platform';

export type ControlFault =
  'unreachable' | 'refused' | 'answer lost' | 'answer cut' | 'answer no JSON' | 'answer misshaped';

export abstract class ControlHarness {
  abstract readonly control: InstanceControl;

  /** Number of operations that have taken effect. */
  abstract readonly startCount: number;

  /** Ends the operations in progress; those of the given instances fail. */
  abstract finish(failing?: readonly string[]): void;

  /** Injects a fault into the next call; `unreachable` lasts until the harness is closed. */
  abstract cause(fault: ControlFault): Promise<void>;

  abstract close(): Promise<void>;
}

interface FaultCase {
  readonly fault: ControlFault;
  readonly kind: string;
  readonly started: number;
}

const FAULT_CASES: readonly FaultCase[] = [
  { fault: 'unreachable', kind: 'control-unreachable', started: 0 },
  { fault: 'refused', kind: 'control-refused', started: 0 },
  { fault: 'answer lost', kind: 'control-unknown', started: 1 },
  { fault: 'answer cut', kind: 'control-unknown', started: 1 },
  { fault: 'answer no JSON', kind: 'control-unknown', started: 1 },
  { fault: 'answer misshaped', kind: 'control-malformed', started: 1 },
];

/** Registers the contract tests for an adapter. */
export function describeInstanceControl(name: string, open: () => Promise<ControlHarness>): void {
  describe(`${name} as instance control`, () => {
    it('starts an operation only once, even if it is requested repeatedly under its id', async (t) => {
      const harness = await open();
      const { control } = harness;
      t.match(await control.operation('op-1'), { value: 'unknown' });
      t.match(await control.reboot('op-1', 't1'), { value: 'running' });
      t.match(await control.reboot('op-1', 't1'), { value: 'running' });
      harness.finish();
      t.match(await control.operation('op-1'), { value: 'succeeded' });
      t.match(await control.reboot('op-1', 't1'), { value: 'succeeded' });
      t.equal(harness.startCount, 1);
      await harness.close();
    });

    it('reports that an operation failed', async (t) => {
      const harness = await open();
      await harness.control.reboot('op-1', 't1');
      harness.finish(['t1']);
      t.match(await harness.control.operation('op-1'), { value: 'failed' });
      await harness.close();
    });

    it('checkpoints under an operation id', async (t) => {
      const harness = await open();
      t.ok((await harness.control.checkpoint('op-2', 't1', 'r1')).isOk());
      harness.finish();
      t.match(await harness.control.operation('op-2'), { value: 'succeeded' });
      await harness.close();
    });

    FAULT_CASES.forEach(({ fault, kind, started }) => {
      it(`reports the outcome correctly after a fault: ${fault}`, async (t) => {
        const harness = await open();
        await harness.cause(fault);
        t.match(await harness.control.reboot('op-1', 't1'), { error: { kind } });
        t.equal(harness.startCount, started);
        await harness.close();
      });
    });

    it('has no second effect when a call is repeated after its answer was lost', async (t) => {
      const harness = await open();
      await harness.cause('answer lost');
      t.match(await harness.control.reboot('op-1', 't1'), { error: { kind: 'control-unknown' } });
      t.match(await harness.control.reboot('op-1', 't1'), { value: 'running' });
      t.equal(harness.startCount, 1);
      await harness.close();
    });
  });
}

/** Contract tests for adapters of the platform's instance list, including a table of faults. */
import { describe, it } from '@acaciadock/core/testing';
import { type InstanceDirectory, type ListedInstance } from '@acaciadock/platform';

export type DirectoryFault =
  'unreachable' | 'answer lost' | 'answer cut' | 'answer no JSON' | 'answer misshaped';

export abstract class DirectoryHarness {
  abstract readonly directory: InstanceDirectory;

  /** Sets the state of an instance; the list may lag. */
  abstract set(listed: ListedInstance): void;

  abstract remove(instanceId: string): void;

  /** Injects a fault into the next call; `unreachable` lasts until the harness is closed. */
  abstract cause(fault: DirectoryFault): Promise<void>;

  abstract close(): Promise<void>;
}

const FAULT_CASES: readonly (readonly [DirectoryFault, string])[] = [
  ['unreachable', 'directory-unreachable'],
  ['answer lost', 'directory-unreachable'],
  ['answer cut', 'directory-unreachable'],
  ['answer no JSON', 'directory-malformed'],
  ['answer misshaped', 'directory-malformed'],
];

/** Registers the contract tests for an adapter. */
export function describeInstanceDirectory(
  name: string,
  open: () => Promise<DirectoryHarness>,
): void {
  describe(`${name} as an instance directory`, () => {
    it('lists live and leaving instances with the time of the observation', async (t) => {
      const harness = await open();
      harness.set({ instanceId: 't1', role: 'target', state: 'live' });
      harness.set({ instanceId: 'e1', role: 'entry', state: 'live' });
      harness.set({ instanceId: 't1', role: 'target', state: 'leaving' });
      harness.set({ instanceId: 't2', role: 'target', state: 'live' });
      harness.remove('t2');
      const list = await harness.directory.list();
      t.same(list.isOk() ? list.value.instances : [], [
        { instanceId: 't1', role: 'target', state: 'leaving' },
        { instanceId: 'e1', role: 'entry', state: 'live' },
      ]);
      t.ok(list.isOk() && Number.isSafeInteger(list.value.observedAtMs));
      await harness.close();
    });

    FAULT_CASES.forEach(([fault, kind]) => {
      it(`distinguishes a fault from an empty list: ${fault}`, async (t) => {
        const harness = await open();
        await harness.cause(fault);
        t.match(await harness.directory.list(), { error: { kind } });
        await harness.close();
      });
    });
  });
}

/**
 * Takes one target out of a fleet under load and counts the runs that still start on it after the
 * grace period in which new work may reach a leaving target.
 */
import { EntryFleet } from './EntryFleet.js';

const SEED = 4_005;
const ENTRIES = 3;
/** Grace period in which new work may still reach a leaving target. */
const NEW_WORK_GRACE_MS = 3_000;
const OBSERVATION_MS = 1_500;
const WARM_UP_MS = 400;
const CALLERS = 24;

export const LEAVING_TARGET_ID = 't0';

export interface LeavingCase {
  readonly name: string;
  /** Makes the target leave; resolves once the intent is applied or the directory lists it so. */
  readonly leave: (fleet: EntryFleet) => Promise<void>;
  /** A fault injected right after the target starts to leave. */
  readonly fault?: (fleet: EntryFleet) => void;
}

export interface LeavingCounts {
  readonly startsBefore: number;
  /** Runs that started on the leaving target after the grace period. */
  readonly startsTooLate: number;
  /** Runs that started on each of the other targets after it started to leave. */
  readonly startsOnOthers: readonly number[];
}

/** Starts callers that each send one request after another, in turn to each entry, until `stop`. */
function startLoad(fleet: EntryFleet): { readonly stop: () => Promise<void> } {
  let isActive = true;
  const callers = Array.from({ length: CALLERS }, async (_, caller) => {
    for (let index = caller; isActive; index += 1) {
      const entry = fleet.entries[index % ENTRIES];
      if (entry && !entry.isDisposed) {
        await fleet.send(index % ENTRIES, { body: `job-${caller}-${index}` });
      }
    }
  });
  return {
    stop: async () => {
      isActive = false;
      await Promise.all(callers);
    },
  };
}

function countStartsAfter(fleet: EntryFleet, targetId: string, sinceMs: number): number {
  const target = fleet.targets.find((other) => other.targetId === targetId);
  return (target?.runs ?? []).filter(({ startedAtMs }) => startedAtMs > sinceMs).length;
}

/** Runs one case; the log and the directory are restored before the fleet is stopped. */
export async function runLeavingCase({ leave, fault }: LeavingCase): Promise<LeavingCounts> {
  const fleet = new EntryFleet({ seed: SEED, entries: ENTRIES, targets: 4 });
  await fleet.start();
  const load = startLoad(fleet);
  await fleet.clock.sleep(WARM_UP_MS);
  await leave(fleet);
  const leftAtMs = fleet.clock.unixMs();
  const startsBefore = countStartsAfter(fleet, LEAVING_TARGET_ID, 0);
  fault?.(fleet);
  await fleet.clock.sleep(NEW_WORK_GRACE_MS + OBSERVATION_MS);
  Object.assign(fleet.directory, { down: false });
  Object.assign(fleet.log.faults, { down: false });
  await load.stop();
  await fleet.stop();
  return {
    startsBefore,
    startsTooLate: countStartsAfter(fleet, LEAVING_TARGET_ID, leftAtMs + NEW_WORK_GRACE_MS),
    startsOnOthers: ['t1', 't2', 't3'].map((targetId) =>
      countStartsAfter(fleet, targetId, leftAtMs),
    ),
  };
}

/** Sets the target's intent to draining, as an operator does. */
export function leaveByIntent(fleet: EntryFleet): Promise<void> {
  const path = `/instances/${LEAVING_TARGET_ID}/intent`;
  return fleet.patch([{ op: 'replace', path, value: 'draining' }]);
}

/** Marks the target as leaving in the platform's directory. */
export async function leaveByList(fleet: EntryFleet): Promise<void> {
  fleet.directory.set({ instanceId: LEAVING_TARGET_ID, role: 'target', state: 'leaving' });
}

/**
 * A fleet of real entries under load of which one target leaves: how many runs start on it once
 * the time is over in which that may still happen.
 */
import { EntryFleet } from './EntryFleet.js';

const SEED = 4_005;
const ENTRIES = 3;
const NO_NEW_WORK_AFTER_MS = 3_000;
const WATCHED_MS = 1_500;
const LOAD_BEFORE_MS = 400;
const CALLERS = 24;

export const LEAVING_TARGET_ID = 't0';

export interface LeavingCase {
  readonly name: string;
  /** Makes the target leave; resolves when that is in force or listed. */
  readonly leave: (fleet: EntryFleet) => Promise<void>;
  /** What goes wrong right after. */
  readonly fault?: (fleet: EntryFleet) => void;
}

export interface LeavingFigures {
  readonly startsBefore: number;
  /** Runs that started on the leaving target when none may start any more. */
  readonly startsTooLate: number;
  /** Runs that started on each of the others after it left. */
  readonly startsOnOthers: readonly number[];
}

/** Callers that send one request after another through all entries until `stop`. */
function keepBusy(fleet: EntryFleet): { readonly stop: () => Promise<void> } {
  let going = true;
  const callers = Array.from({ length: CALLERS }, async (_, caller) => {
    for (let index = caller; going; index += 1) {
      const entry = fleet.entries[index % ENTRIES];
      if (entry && !entry.isDisposed) {
        await fleet.send(index % ENTRIES, { body: `job-${caller}-${index}` });
      }
    }
  });
  return {
    stop: async () => {
      going = false;
      await Promise.all(callers);
    },
  };
}

function startsAfter(fleet: EntryFleet, targetId: string, sinceMs: number): number {
  const target = fleet.targets.find((other) => other.targetId === targetId);
  return (target?.runs ?? []).filter(({ startedAtMs }) => startedAtMs > sinceMs).length;
}

export async function runLeavingCase({ leave, fault }: LeavingCase): Promise<LeavingFigures> {
  const fleet = new EntryFleet({ seed: SEED, entries: ENTRIES, targets: 4 });
  await fleet.start();
  const load = keepBusy(fleet);
  await fleet.clock.sleep(LOAD_BEFORE_MS);
  await leave(fleet);
  const leftAtMs = fleet.clock.unixMs();
  const startsBefore = startsAfter(fleet, LEAVING_TARGET_ID, 0);
  fault?.(fleet);
  await fleet.clock.sleep(NO_NEW_WORK_AFTER_MS + WATCHED_MS);
  Object.assign(fleet.directory, { down: false });
  Object.assign(fleet.log.faults, { down: false });
  await load.stop();
  await fleet.stop();
  return {
    startsBefore,
    startsTooLate: startsAfter(fleet, LEAVING_TARGET_ID, leftAtMs + NO_NEW_WORK_AFTER_MS),
    startsOnOthers: ['t1', 't2', 't3'].map((targetId) => startsAfter(fleet, targetId, leftAtMs)),
  };
}

export function leaveByIntent(fleet: EntryFleet): Promise<void> {
  const path = `/instances/${LEAVING_TARGET_ID}/intent`;
  return fleet.patch([{ op: 'replace', path, value: 'draining' }]);
}

export async function leaveByList(fleet: EntryFleet): Promise<void> {
  fleet.directory.set({ instanceId: LEAVING_TARGET_ID, role: 'target', state: 'leaving' });
}

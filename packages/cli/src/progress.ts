/** Renders the progress of a roll-out as text: a bar, durations and what it waits for. */
import { type MaintenanceBody, type WaitBody } from './MaintenanceClient.js';

const BAR_CHARACTERS = 30;
const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;

export function progressBar(done: number, total: number): string {
  const filled = total > 0 ? Math.round((done / total) * BAR_CHARACTERS) : BAR_CHARACTERS;
  return `[${'#'.repeat(filled)}${'.'.repeat(BAR_CHARACTERS - filled)}]`;
}

/** Formats a duration, such as `2 h 5 min`, `3 min 20 s` or `4 s`. */
export function durationText(durationMs: number): string {
  const hours = Math.floor(durationMs / HOUR_MS);
  const minutes = Math.floor((durationMs % HOUR_MS) / MINUTE_MS);
  const seconds = Math.round((durationMs % MINUTE_MS) / SECOND_MS);
  if (hours > 0) return `${hours} h ${minutes} min`;
  if (minutes > 0) return `${minutes} min ${seconds} s`;
  return `${seconds} s`;
}

/** Describes what a roll-out or job waits for: missing capacity, or the kind of wait. */
export function waitText(wait: WaitBody): string {
  if (wait.shortfalls !== undefined && wait.shortfalls.length > 0) {
    return wait.shortfalls
      .map(({ poolId, missingInstances, missingSlots }) => {
        const missing = [
          ...(missingInstances > 0 ? [`${missingInstances} more instances`] : []),
          ...(missingSlots > 0 ? [`${Math.ceil(missingSlots)} more slots`] : []),
        ];
        return `pool ${poolId} needs ${missing.join(' and ')}`;
      })
      .join('; ');
  }
  const details = [
    ...(wait.entryId === undefined ? [] : [`at ${wait.entryId}`]),
    ...(wait.count === undefined ? [] : [`${wait.count}`]),
    ...(wait.waitMs === undefined ? [] : [`at most ${durationText(wait.waitMs)}`]),
  ];
  return [wait.kind, ...details].join(' ');
}

/** Summarizes the roll-out and its jobs in a few lines. */
export function progressText(status: MaintenanceBody): string {
  const { rollOut } = status;
  if (!rollOut) return 'no roll-out';
  const { doneInstances, totalInstances, timeLeftMs } = rollOut;
  const left = timeLeftMs === undefined ? 'time left not known yet' : durationText(timeLeftMs);
  const lines = [
    `${rollOut.rollOutId} ${rollOut.status} ${progressBar(doneInstances, totalInstances)} ` +
      `${doneInstances}/${totalInstances}  ${rollOut.status === 'done' ? 'done' : `left: ${left}`}`,
  ];
  if (rollOut.failed.length > 0) lines.push(`failed: ${rollOut.failed.join(', ')}`);
  if (status.waitsFor) lines.push(`waits for: ${waitText(status.waitsFor)}`);
  status.jobs.forEach(({ instanceId, purpose, state, waitsFor = [] }) => {
    const waits = waitsFor.map(waitText).join('; ');
    lines.push(`  ${instanceId} ${purpose} ${state}${waits === '' ? '' : `: ${waits}`}`);
  });
  if (!status.isController && status.controllerEntryId !== undefined) {
    lines.push(`what it waits for is known at the controller, entry ${status.controllerEntryId}`);
  }
  return lines.join('\n');
}

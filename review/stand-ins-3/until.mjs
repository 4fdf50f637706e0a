// Waits of a case, which can't run if what it waits for doesn't come.
import { sleep } from './http.mjs';

const CHECK_MS = 20;

/** The case could not run; this is no finding. */
export class CannotRun extends Error {}

/** Resolves with the first value that counts as true. */
export async function until(what, withinMs, holds) {
  const untilMs = performance.now() + withinMs;
  for (;;) {
    const value = await holds();
    if (value) return value;
    if (performance.now() > untilMs) throw new CannotRun(`not in time: ${what}`);
    await sleep(CHECK_MS);
  }
}

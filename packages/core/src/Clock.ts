/**
 * The source of time and timers. Code that depends on time takes a `Clock` as a dependency, so that
 * tests can run it in virtual time.
 */
import { type IDisposable } from './Disposable.js';

export abstract class Clock {
  /** Wall-clock time, milliseconds since the Unix epoch. May jump in either direction. */
  abstract unixMs(): number;

  /** Monotonic time in milliseconds from an arbitrary origin. Never decreases. */
  abstract monotonicMs(): number;

  /** Runs `action` once after `delayMs`; disposing the result cancels it. */
  abstract after(delayMs: number, action: () => void): IDisposable;

  /** Runs `action` every `periodMs` until the result is disposed. */
  abstract every(periodMs: number, action: () => void): IDisposable;

  /** Resolves after `delayMs`. */
  sleep(delayMs: number): Promise<void> {
    return new Promise((resolve) => {
      this.after(delayMs, resolve);
    });
  }
}

/** The operating system's clock. Its periodic timers do not keep the process alive. */
import { performance } from 'node:perf_hooks';
import { Clock } from './Clock.js';
import { type IDisposable, toDisposable } from './Disposable.js';

export class SystemClock extends Clock {
  override unixMs(): number {
    return Date.now();
  }

  override monotonicMs(): number {
    return performance.now();
  }

  override after(delayMs: number, action: () => void): IDisposable {
    const timer = setTimeout(action, delayMs);
    return toDisposable(() => clearTimeout(timer));
  }

  override every(periodMs: number, action: () => void): IDisposable {
    const timer = setInterval(action, periodMs);
    timer.unref();
    return toDisposable(() => clearInterval(timer));
  }
}

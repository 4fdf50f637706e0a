/** A logger that discards everything, for tests and benchmarks. */
import { Logger } from './contracts/Logger.js';

export class SilentLogger extends Logger {
  override debug(): void {
    // Discarded.
  }

  override info(): void {
    // Discarded.
  }

  override warn(): void {
    // Discarded.
  }

  override error(): void {
    // Discarded.
  }
}

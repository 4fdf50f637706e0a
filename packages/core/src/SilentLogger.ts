/** A logger that writes nothing, for tests and benches. */
import { Logger } from './contracts/Logger.js';

export class SilentLogger extends Logger {
  override debug(): void {
    // Nothing is written.
  }

  override info(): void {
    // Nothing is written.
  }

  override warn(): void {
    // Nothing is written.
  }

  override error(): void {
    // Nothing is written.
  }
}

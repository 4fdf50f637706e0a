/** Records the events of level info and above, for tests of what is logged. */
import { type LogFields, Logger } from '@acaciadock/core';

export class RecordingLogger extends Logger {
  private readonly lines: { readonly event: string; readonly fields: LogFields }[] = [];

  override debug(): void {
    // Discarded.
  }

  override info(event: string, fields: LogFields = {}): void {
    this.lines.push({ event, fields });
  }

  override warn(event: string, fields: LogFields = {}): void {
    this.lines.push({ event, fields });
  }

  override error(event: string, fields: LogFields = {}): void {
    this.lines.push({ event, fields });
  }

  /** The events of all lines, oldest first. */
  get events(): string[] {
    return this.lines.map(({ event }) => event);
  }

  /** The fields of each line of the event, oldest first. */
  of(event: string): LogFields[] {
    return this.lines.filter((line) => line.event === event).map(({ fields }) => fields);
  }
}

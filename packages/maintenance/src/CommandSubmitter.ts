/**
 * Appends an operator's command to the control stream and waits until it is read back. Any entry
 * accepts commands; the entry that holds the controller role executes them.
 */
import { type Clock, Disposable, type IDisposable } from '@acaciadock/core';
import { type AppendFailure, CONTROL_STREAM, type LogService } from '@acaciadock/platform';
import { type ControlReader } from './ControlReader.js';
import { type MaintenanceCommand } from './MaintenanceRecord.js';

const SETTLE_TIMEOUT_MS = 6_000;

export type CommandOutcome =
  | { readonly kind: 'accepted'; readonly commandId: string }
  /** The command is invalid in the current state, such as starting a second roll-out. */
  | { readonly kind: 'not-applicable'; readonly commandId: string }
  | { readonly kind: 'not-appended'; readonly failure: AppendFailure }
  /** Not read back within the timeout. Check the status, and submit again if it has no effect. */
  | { readonly kind: 'unknown'; readonly commandId: string };

export class CommandSubmitter extends Disposable {
  constructor(
    private readonly log: LogService,
    private readonly reader: ControlReader,
    private readonly clock: Clock,
  ) {
    super();
  }

  async submit(
    commandId: string,
    author: string,
    command: MaintenanceCommand,
  ): Promise<CommandOutcome> {
    const settled = this.awaitVerdict(commandId);
    const record = { kind: 'maintenance-command', commandId, author, command };
    const appended = await this.log.append(CONTROL_STREAM, [record]);
    if (appended.isErr() && appended.error.kind !== 'append-unknown') {
      return { kind: 'not-appended', failure: appended.error };
    }
    return settled;
  }

  private awaitVerdict(commandId: string): Promise<CommandOutcome> {
    return new Promise((resolve) => {
      const owned: IDisposable[] = [];
      const settle = (outcome: CommandOutcome): void => {
        owned.splice(0).forEach((item) => item.dispose());
        resolve(outcome);
      };
      owned.push(
        this.reader.onRecord(({ verdict }) => {
          if (verdict.kind === 'foreign' || verdict.record.kind !== 'maintenance-command') return;
          if (verdict.record.commandId !== commandId) return;
          const kind = verdict.kind === 'accepted' ? 'accepted' : 'not-applicable';
          settle({ kind, commandId });
        }),
        this.clock.after(SETTLE_TIMEOUT_MS, () => settle({ kind: 'unknown', commandId })),
      );
    });
  }
}

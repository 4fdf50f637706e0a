/** Calls an entry's maintenance API and maps refusals and unknown outcomes to exit codes. */
import { randomUUID } from 'node:crypto';
import { CliFailure } from './CliFailure.js';
import { type CommandContext } from './CommandContext.js';
import { ExitCode } from './ExitCode.js';

export interface RollOutBody {
  readonly rollOutId: string;
  readonly status: string;
  readonly doneInstances: number;
  readonly totalInstances: number;
  readonly elapsedMs: number;
  readonly timeLeftMs?: number;
  readonly moves: number;
  readonly failed: readonly string[];
}

export interface WaitBody {
  readonly kind: string;
  readonly entryId?: string;
  readonly count?: number;
  readonly waitMs?: number;
  readonly shortfalls?: readonly {
    readonly poolId: string;
    readonly missingInstances: number;
    readonly missingSlots: number;
  }[];
}

export interface MaintenanceBody {
  readonly controllerEntryId?: string;
  readonly isController: boolean;
  readonly rollOut?: RollOutBody;
  readonly waitsFor?: WaitBody;
  readonly jobs: readonly {
    readonly instanceId: string;
    readonly purpose: string;
    readonly state: string;
    readonly waitsFor?: readonly WaitBody[];
  }[];
}

export interface CommandResult {
  readonly commandId: string;
}

export class MaintenanceClient {
  constructor(private readonly context: CommandContext) {}

  async status(): Promise<MaintenanceBody> {
    return (await this.read('/v1/maintenance')) as MaintenanceBody;
  }

  /** Returns the body of a GET request; any status but 200 fails the command as refused. */
  async read(path: string): Promise<unknown> {
    const answer = await this.context.client().get(path);
    if (answer.statusCode === 200) return answer.body;
    throw new CliFailure(
      ExitCode.refused,
      { kind: 'not-read', statusCode: answer.statusCode, answer: answer.body },
      `the entry answered ${answer.statusCode}`,
    );
  }

  /**
   * Submits a maintenance command. `--patch-id` sets the command's id, so that a command whose
   * outcome is unknown can be repeated without a second effect.
   */
  async command(command: Readonly<Record<string, unknown>>): Promise<CommandResult> {
    const { patchId, author } = this.context.flags();
    const commandId = patchId ?? randomUUID();
    const body = { commandId, author, command };
    const answer = await this.context.client().post('/v1/maintenance/commands', body);
    if (answer.statusCode === 200) return { commandId };
    if (answer.statusCode === 504) {
      throw new CliFailure(
        ExitCode.unknown,
        { kind: 'command-unknown', commandId },
        `not known whether the command was taken; repeat with --patch-id ${commandId}`,
      );
    }
    throw new CliFailure(
      ExitCode.refused,
      { kind: 'command-refused', commandId, answer: answer.body },
      `refused: ${JSON.stringify(answer.body)}`,
    );
  }
}

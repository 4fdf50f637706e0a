/**
 * Reads the configuration and submits patches to it. Every command that changes the configuration
 * uses this client, so stale, refused and unknown outcomes are reported in the same way.
 */
import { randomUUID } from 'node:crypto';
import { type ConfigState, type PatchOperation, type PatchRecord } from '@acaciadock/config';
import { CliFailure } from './CliFailure.js';
import { type CommandContext } from './CommandContext.js';
import { ExitCode } from './ExitCode.js';
import { type OperatorAnswer } from './OperatorClient.js';

export interface PatchResult {
  readonly patchId: string;
  readonly version: number;
}

interface VerdictBody {
  readonly verdict?: {
    readonly version?: number;
    readonly refusal?: { readonly kind: string; readonly faults?: readonly PatchFault[] };
  };
}

interface PatchFault {
  readonly pointer: string;
  readonly detail: string;
}

interface HistoryBody {
  readonly changes?: readonly {
    readonly version: number;
    readonly author: string;
    readonly operations: readonly PatchOperation[];
  }[];
}

/** Escapes one reference token of a JSON pointer (RFC 6901). */
export function pointerToken(name: string): string {
  return name.replaceAll('~', '~0').replaceAll('/', '~1');
}

export class ConfigClient {
  constructor(private readonly context: CommandContext) {}

  async read(): Promise<ConfigState> {
    const answer = await this.context.client().get('/v1/config');
    if (answer.statusCode === 200) return answer.body as ConfigState;
    throw new CliFailure(
      ExitCode.refused,
      { kind: 'config-not-read', statusCode: answer.statusCode },
      `the entry answered ${answer.statusCode}`,
    );
  }

  /**
   * Submits operations against `--base-version` or, where the flag is not given, against
   * `readVersion`, the version that the caller has just read.
   */
  async patch(operations: readonly PatchOperation[], readVersion: number): Promise<PatchResult> {
    const { baseVersion, patchId, author } = this.context.flags();
    const record: PatchRecord = {
      kind: 'patch',
      schemaVersion: 1,
      patchId: patchId ?? randomUUID(),
      baseVersion: baseVersion === undefined ? readVersion : Number(baseVersion),
      author,
      submittedAtMs: this.context.nowMs(),
      operations: [...operations],
    };
    const answer = await this.context.client().post('/v1/config/patches', record);
    return this.toResult(record, answer);
  }

  /** Maps the response to a result, or throws a `CliFailure` that states the outcome. */
  private async toResult(record: PatchRecord, answer: OperatorAnswer): Promise<PatchResult> {
    const { patchId } = record;
    const { verdict } = answer.body as VerdictBody;
    if (answer.statusCode === 200 && verdict?.version !== undefined) {
      return { patchId, version: verdict.version };
    }
    if (answer.statusCode === 504) {
      throw new CliFailure(
        ExitCode.unknown,
        { kind: 'patch-unknown', patchId },
        `not known whether the patch took effect; repeat with --patch-id ${patchId}`,
      );
    }
    const reason = { kind: 'patch-refused', patchId, answer: answer.body };
    throw new CliFailure(ExitCode.refused, reason, await this.explain(record, answer));
  }

  /** Describes why the patch was refused, with the location of each invalid value. */
  private async explain(record: PatchRecord, answer: OperatorAnswer): Promise<string> {
    const { verdict } = answer.body as VerdictBody;
    const refusal = verdict?.refusal;
    if (refusal?.kind === 'stale-base') return this.explainStaleBase(record.baseVersion);
    const faults = refusal?.faults?.map(({ pointer, detail }) => `  ${pointer}: ${detail}`) ?? [];
    return [`refused: ${refusal?.kind ?? JSON.stringify(answer.body)}`, ...faults].join('\n');
  }

  /** Lists the changes made since the base version of the patch. */
  private async explainStaleBase(baseVersion: number): Promise<string> {
    const answer = await this.context.client().get(`/v1/config/history?since=${baseVersion}`);
    const changes = (answer.body as HistoryBody).changes ?? [];
    const lines = changes.flatMap(({ version, author, operations }) =>
      operations.map(({ op, path }) => `  version ${version} by ${author}: ${op} ${path}`),
    );
    return [`refused: version ${baseVersion} is stale; changed since:`, ...lines].join('\n');
  }
}

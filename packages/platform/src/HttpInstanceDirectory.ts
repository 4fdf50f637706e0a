/**
 * Reads the platform's instance list over HTTP. The list of a large fleet seldom changes, so the
 * request carries the ETag of the last answer (RFC 9110, conditional requests): for an unchanged
 * list the platform sends headers only and no body.
 */
import { err, ok, type Result } from 'neverthrow';
import { type CallAnswer, type HttpPlatformClient } from './HttpPlatformClient.js';
import {
  type DirectoryFailure,
  InstanceDirectory,
  type InstanceList,
  instanceListSchema,
} from './InstanceDirectory.js';

const LIST_TIMEOUT_MS = 3_000;
const OBSERVED_AT_HEADER = 'x-observed-at-ms';

export class HttpInstanceDirectory extends InstanceDirectory {
  private lastList: InstanceList | undefined;

  private lastEtag: string | undefined;

  constructor(private readonly client: HttpPlatformClient) {
    super();
  }

  override async list(): Promise<Result<InstanceList, DirectoryFailure>> {
    const answer = await this.client.call({
      method: 'GET',
      path: '/instances',
      timeoutMs: LIST_TIMEOUT_MS,
      ...(this.lastEtag === undefined ? {} : { headers: { 'if-none-match': this.lastEtag } }),
    });
    if (answer.isErr() && answer.error.kind === 'malformed') {
      return err({ kind: 'directory-malformed', detail: answer.error.detail });
    }
    if (answer.isErr()) return err({ kind: 'directory-unreachable' });
    if (answer.value.statusCode === 304 && this.lastList)
      return ok(this.refreshLastList(answer.value));
    if (answer.value.statusCode !== 200) return err({ kind: 'directory-unreachable' });
    const list = instanceListSchema.safeParse(answer.value.body);
    if (!list.success) return err({ kind: 'directory-malformed', detail: list.error.message });
    this.lastList = list.data;
    this.lastEtag = answer.value.headers.etag;
    return ok(list.data);
  }

  /** Handles a 304: returns the last list with the observation time of this answer. */
  private refreshLastList(answer: CallAnswer): InstanceList {
    const observedAtMs = Number(answer.headers[OBSERVED_AT_HEADER]);
    const lastList = this.lastList ?? { observedAtMs: 0, instances: [] };
    this.lastList = Number.isSafeInteger(observedAtMs) ? { ...lastList, observedAtMs } : lastList;
    return this.lastList;
  }
}

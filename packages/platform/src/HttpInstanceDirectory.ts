/**
 * The platform's instance list over HTTP. The list of a large fleet seldom changes, so it is asked
 * for with the tag of the last one (RFC 9110, conditional requests): an unchanged list costs a
 * header and no body.
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
  private last: InstanceList | undefined;

  private lastTag: string | undefined;

  constructor(private readonly client: HttpPlatformClient) {
    super();
  }

  override async list(): Promise<Result<InstanceList, DirectoryFailure>> {
    const answer = await this.client.call({
      method: 'GET',
      path: '/instances',
      timeoutMs: LIST_TIMEOUT_MS,
      ...(this.lastTag === undefined ? {} : { headers: { 'if-none-match': this.lastTag } }),
    });
    if (answer.isErr() && answer.error.kind === 'malformed') {
      return err({ kind: 'directory-malformed', detail: answer.error.detail });
    }
    if (answer.isErr()) return err({ kind: 'directory-unreachable' });
    if (answer.value.statusCode === 304 && this.last) return ok(this.unchanged(answer.value));
    if (answer.value.statusCode !== 200) return err({ kind: 'directory-unreachable' });
    const list = instanceListSchema.safeParse(answer.value.body);
    if (!list.success) return err({ kind: 'directory-malformed', detail: list.error.message });
    this.last = list.data;
    this.lastTag = answer.value.headers.etag;
    return ok(list.data);
  }

  /** The last list, observed again at the instant that the answer names. */
  private unchanged(answer: CallAnswer): InstanceList {
    const observedAtMs = Number(answer.headers[OBSERVED_AT_HEADER]);
    const last = this.last ?? { observedAtMs: 0, instances: [] };
    this.last = Number.isSafeInteger(observedAtMs) ? { ...last, observedAtMs } : last;
    return this.last;
  }
}

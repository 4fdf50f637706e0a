/** The platform's instance list over HTTP. */
import { err, ok, type Result } from 'neverthrow';
import { type HttpPlatformClient } from './HttpPlatformClient.js';
import {
  type DirectoryFailure,
  InstanceDirectory,
  type InstanceList,
  instanceListSchema,
} from './InstanceDirectory.js';

const LIST_TIMEOUT_MS = 3_000;

export class HttpInstanceDirectory extends InstanceDirectory {
  constructor(private readonly client: HttpPlatformClient) {
    super();
  }

  override async list(): Promise<Result<InstanceList, DirectoryFailure>> {
    const answer = await this.client.call({
      method: 'GET',
      path: '/instances',
      timeoutMs: LIST_TIMEOUT_MS,
    });
    if (answer.isErr() && answer.error.kind === 'malformed') {
      return err({ kind: 'directory-malformed', detail: answer.error.detail });
    }
    if (answer.isErr()) return err({ kind: 'directory-unreachable' });
    if (answer.value.statusCode !== 200) return err({ kind: 'directory-unreachable' });
    const list = instanceListSchema.safeParse(answer.value.body);
    if (!list.success) return err({ kind: 'directory-malformed', detail: list.error.message });
    return ok(list.data);
  }
}

/**
 * HTTP routes by which operators read and patch the configuration, and see its history and status.
 */
import { type Clock } from '@acaciadock/core';
import { patchRecordSchema } from '@acaciadock/config';
import {
  type AlarmLog,
  type ConfigFollower,
  type PatchSubmitter,
  type SubmitOutcome,
} from '@acaciadock/replication';
import { type OperatorAnswer, type OperatorRequest, type OperatorRoute } from './OperatorRoute.js';

const BODY_STATUS = { 'body-too-large': 413, 'body-no-json': 400 } as const;

function statusOf(outcome: SubmitOutcome): number {
  if (outcome.kind === 'not-appended') return 503;
  if (outcome.kind === 'unknown') return 504;
  return outcome.verdict.kind === 'refused' ? 409 : 200;
}

export class ConfigRoutes {
  constructor(
    private readonly entryId: string,
    private readonly follower: ConfigFollower,
    private readonly submitter: PatchSubmitter,
    private readonly alarms: AlarmLog,
    private readonly clock: Clock,
  ) {}

  routes(): readonly OperatorRoute[] {
    return [
      { method: 'GET', path: '/v1/config', answer: () => this.config() },
      { method: 'GET', path: '/v1/config/history', answer: (request) => this.history(request) },
      { method: 'GET', path: '/v1/config/status', answer: () => this.status() },
      { method: 'POST', path: '/v1/config/patches', answer: (request) => this.submit(request) },
      { method: 'GET', path: '/v1/config/patches/:id', answer: (request) => this.patch(request) },
    ];
  }

  private config(): OperatorAnswer {
    return { statusCode: 200, body: this.follower.state() };
  }

  private history({ query }: OperatorRequest): OperatorAnswer {
    const since = Number(query.get('since') ?? '0');
    if (!Number.isSafeInteger(since) || since < 0) {
      return { statusCode: 400, body: { kind: 'since-malformed' } };
    }
    const { version } = this.follower.state();
    return { statusCode: 200, body: { version, ...this.follower.changesSince(since) } };
  }

  private patch({ parameters }: OperatorRequest): OperatorAnswer {
    const status = this.submitter.status(parameters.id ?? '');
    return { statusCode: status.kind === 'decided' ? 200 : 404, body: status };
  }

  private status(): OperatorAnswer {
    const { version, offset } = this.follower.state();
    const nowMs = this.clock.monotonicMs();
    const peers = this.follower.peerPositions().map(({ heardAtMs, ...position }) => ({
      ...position,
      heardAgoMs: Math.round(nowMs - heardAtMs),
    }));
    const body = {
      entryId: this.entryId,
      version,
      offset,
      ready: this.follower.isReady(),
      logReachable: this.follower.logReachable,
      behindForMs: this.follower.behindForMs() ?? null,
      lowestVersion: Math.min(version, ...peers.map((peer) => peer.version)),
      peers,
      alarms: this.alarms.list(),
    };
    return { statusCode: 200, body };
  }

  private async submit(request: OperatorRequest): Promise<OperatorAnswer> {
    const json = await request.json();
    if (json.isErr()) return { statusCode: BODY_STATUS[json.error.kind], body: json.error };
    const record = patchRecordSchema.safeParse(json.value);
    if (!record.success) {
      return {
        statusCode: 400,
        body: { kind: 'patch-malformed', detail: record.error.message },
      };
    }
    const outcome = await this.submitter.submit(record.data);
    return { statusCode: statusOf(outcome), body: outcome };
  }
}

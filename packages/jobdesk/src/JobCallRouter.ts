/**
 * Routes the calls of an entry's callers to the coordinator, in this process or on the entry that
 * owns the journal. During a change of owner a call is retried for up to `OWNER_CHANGE_WAIT_MS`.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import {
  type CallContext,
  type JobCall,
  type JobReply,
  type JobService,
} from '@acaciadock/coordinator';
import { type AllowedCall, type CallAccess, type JobsConfigView } from '@acaciadock/jobs';
import { type Election } from './Election.js';
import { PeerCallClient } from './PeerCallClient.js';

/** How long a call waits for a new owner, in milliseconds; a planned change takes less. */
const OWNER_CHANGE_WAIT_MS = 400;

const OWNER_CHANGE_RETRY_MS = 50;

const RETRY_AFTER_MS = 1_000;

/** Refusal reason while there is no coordinator; it goes away once there is a new owner. */
export const NO_COORDINATOR = 'no-coordinator';

export interface JobCallRouterDeps {
  readonly election: Election;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Returns this entry's coordinator; undefined unless the entry owns the journal. */
  readonly local: () => JobService | undefined;
  readonly config: () => JobsConfigView | undefined;
}

/** Builds the context of a call that the given version of the configuration allows. */
export function contextOf(
  access: CallAccess,
  { queue, teamId }: AllowedCall,
  configVersion: number,
): CallContext {
  const { queueId, poolId, priority, maxAttempts, stretch, targetLatencyMs } = queue;
  return {
    access,
    configVersion,
    queueId,
    poolId,
    teamId,
    priority,
    maxAttempts,
    stretch,
    targetLatencyMs,
  };
}

export class JobCallRouter extends Disposable implements JobService {
  private peer: PeerCallClient | undefined;

  constructor(private readonly deps: JobCallRouterDeps) {
    super();
    this.register({ dispose: () => this.peer?.dispose() });
  }

  /** Whether a coordinator is known that calls can be sent to. */
  get hasCoordinator(): boolean {
    return this.deps.local() !== undefined || this.deps.election.owner !== undefined;
  }

  async call(call: JobCall): Promise<JobReply> {
    const untilMs = this.deps.clock.monotonicMs() + OWNER_CHANGE_WAIT_MS;
    let reply = await this.callOnce(call);
    while (JobCallRouter.isTransient(reply) && this.deps.clock.monotonicMs() < untilMs) {
      void this.deps.election.refreshOwner();
      await this.deps.clock.sleep(OWNER_CHANGE_RETRY_MS);
      reply = await this.callOnce(call);
    }
    return reply;
  }

  /** Answers a call sent to this process because it is believed to be the coordinator. */
  async callLocal(call: JobCall): Promise<JobReply> {
    const local = this.deps.local();
    if (!local) return JobCallRouter.noCoordinatorReply();
    const resolved = this.resolveAgain(call);
    return 'context' in resolved ? local.call(resolved) : resolved;
  }

  private callOnce(call: JobCall): Promise<JobReply> {
    if (this.deps.local()) return this.callLocal(call);
    const peer = this.peerClient();
    if (!peer) return Promise.resolve(JobCallRouter.noCoordinatorReply());
    return peer.call(call).then((reply) => this.refreshOwnerAfterFailure(reply));
  }

  /**
   * Resolves the call again if this entry's configuration is newer than that of the entry which
   * received the call; returns a refusal if the newer configuration does not allow it.
   */
  private resolveAgain(call: JobCall): JobCall | JobReply {
    const view = this.deps.config();
    if (!view || call.context.configVersion >= view.version) return call;
    const allowed = view.resolve(call.context.access);
    if (allowed.isErr()) return { kind: allowed.error.kind };
    return { ...call, context: contextOf(call.context.access, allowed.value, view.version) };
  }

  private peerClient(): PeerCallClient | undefined {
    const address = this.deps.election.owner?.peerAddress;
    if (address === this.peer?.address) return this.peer;
    this.peer?.dispose();
    this.peer = address === undefined ? undefined : new PeerCallClient(address, this.deps.clock);
    return this.peer;
  }

  private refreshOwnerAfterFailure(reply: JobReply): JobReply {
    if (reply.kind === 'refused' || reply.kind === 'unknown-outcome') {
      void this.deps.election.refreshOwner();
    }
    return reply;
  }

  private static isTransient(reply: JobReply): boolean {
    return reply.kind === 'refused' && reply.reason === NO_COORDINATOR;
  }

  private static noCoordinatorReply(): JobReply {
    return { kind: 'refused', reason: NO_COORDINATOR, retryAfterMs: RETRY_AFTER_MS };
  }
}

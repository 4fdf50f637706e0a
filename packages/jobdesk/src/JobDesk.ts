/**
 * Where an entry's callers are served: each call goes to the coordinator, in this process or on
 * the entry that owns the journal. A call waits briefly through a change of owner, never longer.
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

/** A planned change of owner takes less than this; milliseconds. */
const HANDOVER_WAIT_MS = 400;

const HANDOVER_RETRY_MS = 50;

const RETRY_AFTER_MS = 1_000;

/** Reasons that pass when the new owner is there. */
export const NO_COORDINATOR = 'no-coordinator';

export interface JobDeskDeps {
  readonly election: Election;
  readonly clock: Clock;
  readonly logger: Logger;
  /** This entry's coordinator while it owns the journal. */
  readonly local: () => JobService | undefined;
  readonly config: () => JobsConfigView | undefined;
}

/** Describes an allowed call under the configuration that allowed it. */
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

export class JobDesk extends Disposable implements JobService {
  private peer: PeerCallClient | undefined;

  constructor(private readonly deps: JobDeskDeps) {
    super();
    this.register({ dispose: () => this.peer?.dispose() });
  }

  /** Whether calls have somewhere to go. */
  get hasCoordinator(): boolean {
    return this.deps.local() !== undefined || this.deps.election.owner !== undefined;
  }

  async call(call: JobCall): Promise<JobReply> {
    const untilMs = this.deps.clock.monotonicMs() + HANDOVER_WAIT_MS;
    let reply = await this.callOnce(call);
    while (JobDesk.isPassing(reply) && this.deps.clock.monotonicMs() < untilMs) {
      void this.deps.election.refreshOwner();
      await this.deps.clock.sleep(HANDOVER_RETRY_MS);
      reply = await this.callOnce(call);
    }
    return reply;
  }

  /** Answers a call that reached this process as the supposed coordinator. */
  async callLocal(call: JobCall): Promise<JobReply> {
    const local = this.deps.local();
    if (!local) return JobDesk.noCoordinator();
    const fresh = this.refreshed(call);
    return 'context' in fresh ? local.call(fresh) : fresh;
  }

  private callOnce(call: JobCall): Promise<JobReply> {
    if (this.deps.local()) return this.callLocal(call);
    const peer = this.peerClient();
    if (!peer) return Promise.resolve(JobDesk.noCoordinator());
    return peer.call(call).then((reply) => this.noted(reply));
  }

  /** The call under this entry's configuration, if that is newer than the caller's entry's. */
  private refreshed(call: JobCall): JobCall | JobReply {
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

  private noted(reply: JobReply): JobReply {
    if (reply.kind === 'refused' || reply.kind === 'unknown-outcome') {
      void this.deps.election.refreshOwner();
    }
    return reply;
  }

  private static isPassing(reply: JobReply): boolean {
    return reply.kind === 'refused' && reply.reason === NO_COORDINATOR;
  }

  private static noCoordinator(): JobReply {
    return { kind: 'refused', reason: NO_COORDINATOR, retryAfterMs: RETRY_AFTER_MS };
  }
}

/**
 * Routes the calls of an entry's callers to the coordinator, in this process or on the entry that
 * owns the journal. During a change of owner a call is retried for up to `OWNER_CHANGE_WAIT_MS`. A
 * call without an answer is repeated, because all calls are idempotent and the next answer resolves it.
 */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import {
  type CallContext,
  type JobCall,
  type JobReply,
  type JobService,
  ID_IN_USE,
  OVERLOADED,
} from '@acaciadock/coordinator';
import { type AllowedCall, type CallAccess, type JobsConfigView } from '@acaciadock/jobs';
import { RetryAfter } from '@acaciadock/placement';
import { type Election } from './Election.js';
import { PeerCallClient, UNREACHABLE } from './PeerCallClient.js';

/** How long a call waits for a new owner, in milliseconds; a planned change takes less. */
const OWNER_CHANGE_WAIT_MS = 400;

const OWNER_CHANGE_RETRY_MS = 50;

/**
 * A call whose outcome is unknown is repeated until this long after its start, in milliseconds, so
 * that the caller still gets an answer before its own time limit.
 */
const RESOLVE_WAIT_MS = 1_300;

/** The owner counts as absent only while calls have failed within this time, in milliseconds. */
const ABSENCE_MEMORY_MS = 3_000;

/** Replies that say nothing of an earlier attempt of the same call, which may have been accepted. */
const UNRESOLVING_KINDS: ReadonlySet<JobReply['kind']> = new Set([
  'refused',
  'no-such-queue',
  'unknown-key',
]);

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

  /** First and last failure of the current absence of an owner, on the monotonic clock. */
  private absence: { readonly sinceMs: number; readonly lastMs: number } | undefined;

  constructor(private readonly deps: JobCallRouterDeps) {
    super();
    this.register({ dispose: () => this.peer?.dispose() });
  }

  /** Whether a coordinator is known that calls can be sent to. */
  get hasCoordinator(): boolean {
    return this.deps.local() !== undefined || this.deps.election.owner !== undefined;
  }

  async call(call: JobCall): Promise<JobReply> {
    const startedMs = this.deps.clock.monotonicMs();
    let reply = await this.callOnce(call);
    let unresolved: JobReply | undefined;
    for (;;) {
      if (reply.kind === 'unknown-outcome') unresolved = reply;
      const elapsedMs = this.deps.clock.monotonicMs() - startedMs;
      if (elapsedMs >= JobCallRouter.retryWaitMs(reply, unresolved)) break;
      void this.deps.election.refreshOwner();
      await this.deps.clock.sleep(OWNER_CHANGE_RETRY_MS);
      reply = await this.callOnce(call);
    }
    this.recordAbsence(reply);
    return this.finalReply(reply, unresolved);
  }

  /** How long after its start a call with this reply is repeated, in milliseconds; 0 for never. */
  private static retryWaitMs(reply: JobReply, unresolved: JobReply | undefined): number {
    if (reply.kind !== 'refused' && reply.kind !== 'unknown-outcome') return 0;
    // The owner's answer stays the same within the caller's time limit.
    if (JobCallRouter.isDecided(reply)) return 0;
    if (unresolved) return RESOLVE_WAIT_MS;
    return JobCallRouter.isTransient(reply) ? OWNER_CHANGE_WAIT_MS : 0;
  }

  /** A refusal after an attempt with an unknown outcome does not prove that the call had no effect. */
  private finalReply(reply: JobReply, unresolved: JobReply | undefined): JobReply {
    if (unresolved && UNRESOLVING_KINDS.has(reply.kind)) return unresolved;
    if (reply.kind !== 'refused' || !JobCallRouter.isTransient(reply)) return reply;
    const outageMs = this.deps.clock.monotonicMs() - (this.absence?.sinceMs ?? 0);
    return { ...reply, retryAfterMs: RetryAfter.duringOutageMs(outageMs) };
  }

  private recordAbsence(reply: JobReply): void {
    const nowMs = this.deps.clock.monotonicMs();
    if (!JobCallRouter.isTransient(reply)) {
      this.absence = undefined;
      return;
    }
    const isContinuing = this.absence && nowMs - this.absence.lastMs < ABSENCE_MEMORY_MS;
    this.absence = {
      sinceMs: isContinuing ? (this.absence?.sinceMs ?? nowMs) : nowMs,
      lastMs: nowMs,
    };
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
    const hasFailed = reply.kind === 'refused' || reply.kind === 'unknown-outcome';
    // An owner that has decided on the submission is the owner.
    if (hasFailed && !JobCallRouter.isDecided(reply)) {
      void this.deps.election.refreshOwner();
    }
    return reply;
  }

  /** Whether the owner has refused the submission itself. */
  private static isDecided(reply: JobReply): boolean {
    if (reply.kind !== 'refused') return false;
    return reply.reason === OVERLOADED || reply.reason === ID_IN_USE;
  }

  private static isTransient(reply: JobReply): boolean {
    if (reply.kind !== 'refused') return false;
    return reply.reason === NO_COORDINATOR || reply.reason === UNREACHABLE;
  }

  private static noCoordinatorReply(): JobReply {
    return { kind: 'refused', reason: NO_COORDINATOR, retryAfterMs: RetryAfter.duringOutageMs(0) };
  }
}

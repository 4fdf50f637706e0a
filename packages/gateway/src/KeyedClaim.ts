/**
 * The claim of one keyed request. Settles with the right to send, or with what the caller is told
 * instead: the same answer as before, or why there is none.
 */
import { type Executed } from '@acaciadock/core';
import { type AcceptedRequest, type IdempotencyMark } from './AcceptedRequest.js';
import { type KeptEnd } from './claims/AnswerStore.js';
import { claimFingerprint, claimKeyHash } from './claims/ClaimKey.js';
import { type ClaimHolder } from './claims/ClaimTable.js';
import { type Problem } from './Problem.js';
import { type RunServices } from './RunServices.js';
import { type WholeAnswer } from './TargetEnd.js';

const MOST_CLAIM_WAIT_MS = 2_000;
const RELEASE_WAIT_MS = 100;
const RETRY_AFTER_MS = 1_000;

export type ClaimResult =
  | { readonly kind: 'first' }
  | { readonly kind: 'replay'; readonly answer: WholeAnswer }
  | {
      readonly kind: 'problem';
      readonly problem: Omit<Problem, 'executed'>;
      /** What is known of the work from the earlier request. */
      readonly atLeast: Executed;
    };

function alreadyAccepted(): ClaimResult {
  const detail = 'a request with this key was accepted before; its answer is not at hand';
  const problem = { type: 'already-accepted', detail, retryAfterMs: RETRY_AFTER_MS } as const;
  return { kind: 'problem', problem, atLeast: 'unknown' };
}

function refused(type: 'log-unavailable' | 'idempotency-key-reused', detail: string): ClaimResult {
  const retry = type === 'log-unavailable' ? { retryAfterMs: RETRY_AFTER_MS } : {};
  return { kind: 'problem', problem: { type, detail, ...retry }, atLeast: 'no' };
}

export class KeyedClaim {
  private readonly keyHash: string;

  private readonly fingerprint: string;

  private claimId = '';

  private tries = 0;

  private holds = false;

  private gone = false;

  constructor(
    private readonly request: AcceptedRequest,
    mark: IdempotencyMark,
    private readonly services: RunServices,
  ) {
    this.keyHash = claimKeyHash(request.teamId, mark.key);
    this.fingerprint = claimFingerprint(request.serviceId, mark.stampMs, request.body);
  }

  /** Claims the key; undefined if the request ended meanwhile. */
  async run(): Promise<ClaimResult | undefined> {
    for (;;) {
      const result = await this.tryOnce();
      if (this.gone) {
        this.end({ kind: 'not-run' });
        return undefined;
      }
      if (result) return result;
      // The holder was refused, and its release is on the way through the log.
      await this.services.clock.sleep(RELEASE_WAIT_MS);
    }
  }

  /** The request ended before the claim was settled. */
  abandon(): void {
    this.gone = true;
  }

  /** How the request that holds the claim ended; `not-run` gives the key free again. */
  end(end: KeptEnd): void {
    if (!this.holds) return;
    this.holds = false;
    const { claimId, keyHash } = this;
    this.services.answers.end(claimId, end);
    if (end.kind === 'not-run') this.services.claims.release({ claimId, keyHash });
  }

  private async tryOnce(): Promise<ClaimResult | undefined> {
    const { answers, claims, clock } = this.services;
    this.tries += 1;
    this.claimId = `${this.request.requestId}:c${this.tries}`;
    const { claimId, keyHash, fingerprint } = this;
    // Known here before it can be read by others, who may ask for its answer at once.
    answers.begin(claimId);
    const leftMs = this.request.deadlineAtMs - clock.unixMs();
    const untilMs = clock.monotonicMs() + Math.min(MOST_CLAIM_WAIT_MS, leftMs);
    const end = await claims.claim({ claimId, keyHash, fingerprint }, untilMs);
    if (end.kind === 'first') {
      this.holds = true;
      return { kind: 'first' };
    }
    answers.drop(claimId);
    if (end.kind === 'held') return this.follow(end.holder);
    return refused('log-unavailable', 'the claim could not be recorded; nothing was sent');
  }

  private async follow(holder: ClaimHolder): Promise<ClaimResult | undefined> {
    if (holder.fingerprint !== this.fingerprint) {
      return refused('idempotency-key-reused', 'the key came before with another request');
    }
    const { answerDesk, clock } = this.services;
    const leftMs = this.request.deadlineAtMs - clock.unixMs();
    const end = await answerDesk.ask(holder, clock.monotonicMs() + leftMs);
    if (end.kind === 'answered') return { kind: 'replay', answer: end.answer };
    if (end.kind === 'not-run') return undefined;
    return alreadyAccepted();
  }
}

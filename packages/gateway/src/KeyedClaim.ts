/**
 * Claims the idempotency key of one request. Yields the right to send the work, or what the
 * caller gets instead: the answer of the earlier request, or a problem if there is none.
 */
import { type Executed } from '@acaciadock/core';
import { type AcceptedRequest, type IdempotencyKey } from './AcceptedRequest.js';
import { type KeptEnd } from './claims/AnswerStore.js';
import { claimFingerprint, claimKeyHash } from './claims/claimDigests.js';
import { type ClaimHolder } from './claims/ClaimTable.js';
import { type Problem } from './Problem.js';
import { type RunServices } from './RunServices.js';
import { type CompleteAnswer } from './TargetEnd.js';

const MAX_CLAIM_WAIT_MS = 2_000;
const RELEASE_WAIT_MS = 100;
const RETRY_AFTER_MS = 1_000;

export type ClaimResult =
  | { readonly kind: 'first' }
  | { readonly kind: 'replay'; readonly answer: CompleteAnswer }
  | {
      readonly kind: 'problem';
      readonly problem: Omit<Problem, 'executed'>;
      /** Whether the work ran, as far as the earlier request shows. */
      readonly knownExecuted: Executed;
    };

function alreadyAccepted(): ClaimResult {
  const detail = 'a request with this key was accepted before; its answer is not at hand';
  const problem = { type: 'already-accepted', detail, retryAfterMs: RETRY_AFTER_MS } as const;
  return { kind: 'problem', problem, knownExecuted: 'unknown' };
}

function refused(type: 'log-unavailable' | 'idempotency-key-reused', detail: string): ClaimResult {
  const retry = type === 'log-unavailable' ? { retryAfterMs: RETRY_AFTER_MS } : {};
  return { kind: 'problem', problem: { type, detail, ...retry }, knownExecuted: 'no' };
}

export class KeyedClaim {
  private readonly keyHash: string;

  private readonly fingerprint: string;

  private claimId = '';

  private attempts = 0;

  private isHolder = false;

  private isAbandoned = false;

  constructor(
    private readonly request: AcceptedRequest,
    idempotencyKey: IdempotencyKey,
    private readonly services: RunServices,
  ) {
    this.keyHash = claimKeyHash(request.teamId, idempotencyKey.key);
    this.fingerprint = claimFingerprint(
      request.serviceId,
      idempotencyKey.firstSentAtMs,
      request.body,
    );
  }

  /** Claims the key. Returns undefined if the request ended in the meantime. */
  async run(): Promise<ClaimResult | undefined> {
    for (;;) {
      const result = await this.claimOnce();
      if (this.isAbandoned) {
        this.end({ kind: 'not-run' });
        return undefined;
      }
      if (result) return result;
      // The holder's request did not run, and its release has yet to arrive through the log.
      await this.services.clock.sleep(RELEASE_WAIT_MS);
    }
  }

  /** Called when the request ends before the claim is settled. */
  abandon(): void {
    this.isAbandoned = true;
  }

  /** Stores how the request that holds the claim ended; `not-run` releases the key. */
  end(end: KeptEnd): void {
    if (!this.isHolder) return;
    this.isHolder = false;
    const { claimId, keyHash } = this;
    this.services.answers.end(claimId, end);
    if (end.kind === 'not-run') this.services.claims.release({ claimId, keyHash });
  }

  private async claimOnce(): Promise<ClaimResult | undefined> {
    const { answers, claims, clock } = this.services;
    this.attempts += 1;
    this.claimId = `${this.request.requestId}:c${this.attempts}`;
    const { claimId, keyHash, fingerprint } = this;
    // Registered before others can read the claim and query its answer.
    answers.begin(claimId);
    const leftMs = this.request.deadlineAtMs - clock.unixMs();
    const untilMs = clock.monotonicMs() + Math.min(MAX_CLAIM_WAIT_MS, leftMs);
    const end = await claims.claim({ claimId, keyHash, fingerprint }, untilMs);
    if (end.kind === 'first') {
      this.isHolder = true;
      return { kind: 'first' };
    }
    answers.drop(claimId);
    if (end.kind === 'held') return this.awaitHolder(end.holder);
    return refused('log-unavailable', 'the claim could not be recorded; nothing was sent');
  }

  private async awaitHolder(holder: ClaimHolder): Promise<ClaimResult | undefined> {
    if (holder.fingerprint !== this.fingerprint) {
      return refused('idempotency-key-reused', 'the key came before with another request');
    }
    const { answerExchange, clock } = this.services;
    const leftMs = this.request.deadlineAtMs - clock.unixMs();
    const end = await answerExchange.queryEnd(holder, clock.monotonicMs() + leftMs);
    if (end.kind === 'answered') return { kind: 'replay', answer: end.answer };
    if (end.kind === 'not-run') return undefined;
    return alreadyAccepted();
  }
}

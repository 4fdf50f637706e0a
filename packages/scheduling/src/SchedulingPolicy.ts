/**
 * How the weights of the configuration shape scheduling. A deployment that weighs closeness to
 * share keeps urgent work nearer to its team's turn; one that weighs buffer cost keeps fewer slots
 * free for urgent work and rather checkpoints background work.
 */
import { type PolicyConfig } from '@acaciadock/config';

const LEAD_AGEING_PART = 0.5;
const PREEMPT_AFTER_PART = 0.4;
const MOST_HEADROOM_RATIO = 0.5;

export interface SchedulingPolicy {
  /** How far urgent work may run ahead of its team's turn, as time at the team's portion. */
  readonly urgentLeadMs: number;
  readonly urgentStartMs: number;
  /** Part of a pool's slots that background work leaves free. */
  readonly headroomRatio: number;
  readonly ageingMs: number;
  /** Urgent work that has waited this long has background work checkpointed for it. */
  readonly preemptAfterMs: number;
  readonly maxEjectedRatio: number;
}

export function schedulingPolicyOf(policy: PolicyConfig): SchedulingPolicy {
  const { bufferCost, rollOutTime, moves, shareError } = policy.weights;
  const sum = bufferCost + rollOutTime + moves + shareError;
  const sharePart = sum > 0 ? shareError / sum : 0;
  const weighed = shareError + bufferCost;
  const headroomFactor = weighed > 0 ? (2 * shareError) / weighed : 1;
  return {
    urgentLeadMs: policy.backgroundAgeingMs * LEAD_AGEING_PART * (1 - sharePart),
    urgentStartMs: policy.urgentStartMs,
    headroomRatio: Math.min(MOST_HEADROOM_RATIO, policy.urgentHeadroomRatio * headroomFactor),
    ageingMs: policy.backgroundAgeingMs,
    preemptAfterMs: policy.urgentStartMs * PREEMPT_AFTER_PART,
    maxEjectedRatio: policy.maxEjectedRatio,
  };
}

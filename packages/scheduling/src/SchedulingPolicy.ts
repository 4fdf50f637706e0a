/**
 * Derives scheduling parameters from the policy weights of the configuration. A higher weight of
 * `shareError` keeps urgent work closer to its team's turn. A higher weight of `bufferCost`
 * reserves fewer slots for urgent work, which then relies more on checkpointing background work.
 */
import { type PolicyConfig } from '@acaciadock/config';

const LEAD_TO_AGEING_RATIO = 0.5;
const PREEMPT_AFTER_RATIO = 0.4;
const MAX_HEADROOM_RATIO = 0.5;

export interface SchedulingPolicy {
  /**
   * How far urgent work may run ahead of its team's turn, as time at the team's full portion of
   * slots.
   */
  readonly urgentLeadMs: number;
  readonly urgentStartMs: number;
  /**
   * Fraction of a pool's slots that background work leaves free for urgent work. The weights scale
   * the configured fraction by 1 if `shareError` and `bufferCost` have equal weights, and by up to
   * 2 as the weight of `bufferCost` approaches zero; the result is at most `MAX_HEADROOM_RATIO`.
   */
  readonly headroomRatio: number;
  readonly ageingMs: number;
  /** Background work is checkpointed for urgent work that has waited this long. */
  readonly preemptAfterMs: number;
  readonly maxEjectedRatio: number;
}

export function schedulingPolicyOf(policy: PolicyConfig): SchedulingPolicy {
  const { bufferCost, rollOutTime, moves, shareError } = policy.weights;
  const totalWeight = bufferCost + rollOutTime + moves + shareError;
  const shareErrorFraction = totalWeight > 0 ? shareError / totalWeight : 0;
  const headroomWeight = shareError + bufferCost;
  const headroomFactor = headroomWeight > 0 ? (2 * shareError) / headroomWeight : 1;
  return {
    urgentLeadMs: policy.backgroundAgeingMs * LEAD_TO_AGEING_RATIO * (1 - shareErrorFraction),
    urgentStartMs: policy.urgentStartMs,
    headroomRatio: Math.min(MAX_HEADROOM_RATIO, policy.urgentHeadroomRatio * headroomFactor),
    ageingMs: policy.backgroundAgeingMs,
    preemptAfterMs: policy.urgentStartMs * PREEMPT_AFTER_RATIO,
    maxEjectedRatio: policy.maxEjectedRatio,
  };
}

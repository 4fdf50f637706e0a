import { EMPTY_DOCUMENT } from '@acaciadock/config';
import { describe, it } from '@acaciadock/core/testing';
import { schedulingPolicyOf } from './SchedulingPolicy.js';

function policyOf(bufferCost: number, shareError: number): ReturnType<typeof schedulingPolicyOf> {
  const weights = { bufferCost, rollOutTime: 1, moves: 1, shareError };
  return schedulingPolicyOf({ ...EMPTY_DOCUMENT.policy, weights });
}

describe('schedulingPolicyOf', () => {
  it('keeps urgent work closer to its turn at a higher weight of the share error', (t) => {
    t.ok(policyOf(1, 2).urgentLeadMs < policyOf(1, 1).urgentLeadMs);
  });

  it('lowers the headroom at a higher weight of buffer cost, and keeps it at equal weights', (t) => {
    t.ok(policyOf(2, 1).headroomRatio < policyOf(1, 1).headroomRatio);
    t.equal(policyOf(1, 1).headroomRatio, EMPTY_DOCUMENT.policy.urgentHeadroomRatio);
  });

  it('yields finite values when all weights are zero', (t) => {
    const weights = { bufferCost: 0, rollOutTime: 0, moves: 0, shareError: 0 };
    const policy = schedulingPolicyOf({ ...EMPTY_DOCUMENT.policy, weights });
    t.ok(Number.isFinite(policy.urgentLeadMs) && Number.isFinite(policy.headroomRatio));
  });
});

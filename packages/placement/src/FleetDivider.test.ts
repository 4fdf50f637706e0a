/** Tests how a fleet that is too small for its pools is divided among them. */
import { describe, it } from '@acaciadock/core/testing';
import { FleetDivider, type PoolClaim } from './FleetDivider.js';

function countsOf(needs: readonly number[], fleetSize: number): number[] {
  const claims: PoolClaim[] = needs.map((needed, index) => ({ poolId: `p${index}`, needed }));
  const parts = FleetDivider.divide(claims, fleetSize);
  return claims.map(({ poolId }) => parts.find((part) => part.poolId === poolId)?.count ?? -1);
}

describe('FleetDivider', () => {
  describe('when the fleet is large enough', () => {
    it('allocates exactly what each pool needs', (t) => {
      t.same(countsOf([3, 10, 1], 35), [3, 10, 1]);
    });
  });

  describe('when the backlog of one pool could use the whole fleet', () => {
    it('meets small needs in full and allocates the rest to the backlog', (t) => {
      t.same(countsOf([120, 3, 6, 1], 35), [25, 3, 6, 1]);
    });
  });

  describe('when several pools need more than is available', () => {
    it('allocates equal parts to them', (t) => {
      t.same(countsOf([100, 100], 30), [15, 15]);
      t.same(countsOf([100, 100, 2], 30), [14, 14, 2]);
    });

    it('never allocates more instances than the fleet has', (t) => {
      for (let fleetSize = 0; fleetSize < 20; fleetSize += 1) {
        const total = countsOf([7, 5, 9, 1], fleetSize).reduce((sum, count) => sum + count, 0);
        t.equal(total, Math.min(fleetSize, 22));
      }
    });
  });
});

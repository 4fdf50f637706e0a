/** Tests the order of teams under scarcity, and the bounds and the decay of credits. */
import { describe, it } from '@acaciadock/core/testing';
import { FairShares, type SharePass } from './FairShares.js';
import { type ShareClaim } from './ShareOrder.js';

const CAPACITY = { cpuMilli: 100, memoryMb: 100, gpuCount: 0 };

interface Held {
  readonly cpuMilli?: number;
  readonly memoryMb?: number;
  readonly weight?: number;
}

/** A pass in which each team holds some of a pool of 100 units and all of them want more. */
function passOf(teams: Readonly<Record<string, Held>>, nowMs = 0): SharePass {
  const none = { cpuMilli: 0, memoryMb: 0, gpuCount: 0 };
  return {
    poolId: 'pool',
    holdings: {
      capacity: CAPACITY,
      byTeam: new Map(Object.entries(teams).map(([id, held]) => [id, { ...none, ...held }])),
    },
    waitingTeamIds: new Set(Object.keys(teams)),
    weightOf: (teamId) => teams[teamId]?.weight ?? 1,
    nowMs,
  };
}

/** Steps are named by their team, a letter, and a number; each needs one task of 10 units. */
function claimOf(step: string): ShareClaim {
  return {
    teamId: step.slice(0, 1),
    amount: { cpuMilli: 10, memoryMb: 1, gpuCount: 0 },
    taskCount: 1,
  };
}

function order(shares: FairShares, pass: SharePass, steps: string): string {
  return shares.orderFor(pass).order(steps.split(' '), claimOf).join(' ');
}

describe('FairShares', () => {
  it('lets the team with the smallest dominant share go first until it has caught up', (t) => {
    // Fails if teams are ordered once a pass: team b would then take all of the room that is left.
    const pass = passOf({ a: { cpuMilli: 30 }, b: { cpuMilli: 15 } });
    t.equal(order(new FairShares(), pass, 'a1 a2 b1 b2 b3 b4'), 'b1 b2 a1 b3 a2 b4');
  });

  it('counts steps that keep their order against the share of their team', (t) => {
    // Fails if the work of started jobs is left out: team a would go first again.
    const shareOrder = new FairShares().orderFor(passOf({ a: { cpuMilli: 10 }, b: {} }));
    shareOrder.count(['b1', 'b2'], claimOf);
    t.equal(shareOrder.order(['b3', 'a1'], claimOf).join(' '), 'a1 b3');
  });

  it('compares teams by the resource of which they hold most', (t) => {
    const pass = passOf({ a: { cpuMilli: 20 }, b: { cpuMilli: 5, memoryMb: 60 } });
    t.equal(order(new FairShares(), pass, 'b1 a1'), 'a1 b1');
  });

  it('divides shares by the weights of the teams', (t) => {
    const pass = passOf({ a: { cpuMilli: 40, weight: 4 }, b: { cpuMilli: 20, weight: 1 } });
    t.equal(order(new FairShares(), pass, 'b1 a1'), 'a1 b1');
  });

  it('prefers a team whose work was denied, by a bounded credit that decays', (t) => {
    const shares = new FairShares();
    for (let nowMs = 0; nowMs < 60_000; nowMs += 100) {
      shares.recordDenied(passOf({ a: {}, b: { cpuMilli: 90 } }, nowMs), new Set(['a']));
    }
    const credit = shares.creditOf('pool', 'a', 60_000);
    t.ok(credit > 0.4 && credit <= 0.5, `${credit}`);
    const equal = { a: { cpuMilli: 40 }, b: { cpuMilli: 40 } };
    t.equal(order(shares, passOf(equal, 60_000), 'b1 a1'), 'a1 b1');
    t.equal(shares.current(90_000).length, 0, 'gone after ten time constants');
    t.equal(order(shares, passOf(equal, 90_000), 'b1 a1'), 'b1 a1');
  });

  it('gives no credit to a team that holds its portion', (t) => {
    const shares = new FairShares();
    shares.recordDenied(passOf({ a: { cpuMilli: 50 }, b: { cpuMilli: 50 } }), new Set(['a']));
    t.equal(shares.creditOf('pool', 'a', 0), 0);
  });
});

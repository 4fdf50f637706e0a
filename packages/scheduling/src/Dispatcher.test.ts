import { describe, it } from '@acaciadock/core/testing';
import { type GrantOutcome, type Ticket } from '@acaciadock/peers';
import { HomeFixture } from './testing/HomeFixture.js';

const SLOTS = 16;
const LEASE_EXPIRY_MS = 1_000 + 10_000 + 500;
const GATEWAY = 'g1';

type Body = (home: HomeFixture) => Promise<void>;

function withHome(body: Body, targetCount = 2): () => Promise<void> {
  return async () => {
    const home = new HomeFixture(targetCount);
    await body(home);
    home.dispose();
  };
}

describe('Dispatcher', () => {
  describe('tickets', () => {
    it('grants a resent ticket once, and sends that grant again', (t) =>
      withHome(async (home) => {
        const ticket = home.ticket();
        await home.deliver(GATEWAY, ticket, ticket);
        await home.deliver(GATEWAY, ticket);
        t.equal(new Set(home.grants().map(({ grantId }) => grantId)).size, 1);
        t.equal(home.credits.inUse.size, 1);
        await home.deliver(GATEWAY, HomeFixture.ended(home.grants()[0]!));
        await home.deliver(GATEWAY, ticket);
        t.equal(home.credits.inUse.size, 0);
        t.equal(home.dispatcher.openGrants, 0);
      })());

    const refusals: readonly { name: string; change: Partial<Ticket>; reason: string }[] = [
      { name: 'an unknown service', change: { serviceId: 'nope' }, reason: 'no-target-fits' },
      { name: 'a team with limit 0', change: { teamId: 'none' }, reason: 'team-limit-zero' },
      { name: 'a past deadline', change: { deadlineAtMs: 1 }, reason: 'deadline-unreachable' },
    ];
    refusals.forEach(({ name, change, reason }) => {
      it(`refuses ${name} at once`, (t) =>
        withHome(async (home) => {
          await home.deliver(GATEWAY, home.ticket(change));
          t.equal(home.refusals()[0]?.reason, reason);
          t.equal(home.dispatcher.waitingTickets, 0);
        })());
    });

    it('refuses tickets while fenced or stopping, and returns waiting tickets on a stop', (t) =>
      withHome(async (home) => {
        await home.deliver(GATEWAY, ...Array.from({ length: SLOTS + 3 }, () => home.ticket()));
        home.fence.set('isolated');
        await home.deliver(GATEWAY, home.ticket());
        home.fence.set(undefined);
        home.dispatcher.stop();
        await home.deliver(GATEWAY, home.ticket());
        t.same(
          home.refusals().map(({ reason }) => reason),
          ['fenced', 'stopping'],
        );
        const returned = home.network.of('tickets-returned')[0]?.ticketIds.length ?? 0;
        t.equal(returned + home.grants().length, SLOTS + 3);
        t.equal(home.dispatcher.waitingTickets, 0);
      })());

    it('returns waiting tickets when another entry becomes the home', (t) =>
      withHome(async (home) => {
        await home.deliver(GATEWAY, ...Array.from({ length: SLOTS + 3 }, () => home.ticket()));
        home.homes.set(['g2', 'e0', 'g1']);
        await home.advance(250);
        const returned = home.network.of('tickets-returned')[0]?.ticketIds.length ?? 0;
        t.equal(returned + home.grants().length, SLOTS + 3);
      })());

    it('handles 10,000 cancellations at once without sending messages or leaking slots', (t) =>
      withHome(async (home) => {
        const tickets = Array.from({ length: 9_000 }, () => home.ticket());
        const more = Array.from({ length: 1_000 }, () => home.ticket({ teamId: 'b' }));
        await home.deliver(GATEWAY, ...tickets, ...more);
        const { length } = home.network.sent;
        const ticketIds = [...tickets, ...more].map(({ ticketId }) => ticketId);
        await home.deliver(GATEWAY, { kind: 'tickets-cancelled', ticketIds });
        t.equal(home.dispatcher.waitingTickets, 0);
        t.equal(home.network.sent.length, length);
        const open = [...home.grants()];
        await home.deliver(
          GATEWAY,
          ...open.map((grant) => HomeFixture.ended(grant, 'not-started')),
        );
        t.equal(home.credits.inUse.size, 0);
        await home.deliver(GATEWAY, home.ticket());
        t.equal(home.grants().length, open.length + 1);
      })());

    it('drops a ticket whose deadline passes while its gateway is unreachable', (t) =>
      withHome(async (home) => {
        home.network.down.add(GATEWAY);
        const lost = home.ticket({ deadlineAtMs: home.clock.unixMs() + 2_000 });
        await home.deliver(GATEWAY, lost, home.ticket());
        t.equal(home.credits.inUse.size, 0, 'a grant that was not sent uses no credit');
        await home.advance(3_000);
        home.network.down.clear();
        await home.advance(500);
        t.equal(home.grants().length, 1);
        t.equal(home.dispatcher.waitingTickets, 0);
      })());
  });

  describe('slots and credits', () => {
    it('never fills a target beyond its slots', (t) =>
      withHome(async (home) => {
        const urgent = Array.from({ length: 40 }, () => home.ticket({ urgency: 'urgent' }));
        await home.deliver(GATEWAY, ...urgent);
        const perTarget = ['t0', 't1'].map(
          (id) => home.grants().filter(({ targetId }) => targetId === id).length,
        );
        t.same(perTarget, [8, 8]);
      })());

    it('skips a team at its limit, and resumes it when a credit is released', (t) =>
      withHome(async (home) => {
        Object.assign(home.credits, { limit: 1 });
        await home.deliver(GATEWAY, home.ticket(), home.ticket(), home.ticket({ teamId: 'b' }));
        t.same(
          home.grants().map(({ teamId }) => teamId),
          ['a', 'b'],
        );
        await home.deliver(GATEWAY, HomeFixture.ended(home.grants()[0]!));
        t.equal(home.grants().length, 3);
      })());

    const ends: readonly { outcome: GrantOutcome | undefined; heldMs: number }[] = [
      { outcome: 'succeeded', heldMs: 0 },
      { outcome: 'failed', heldMs: 0 },
      { outcome: 'not-started', heldMs: 0 },
      { outcome: 'target-refused', heldMs: 0 },
      { outcome: 'unreachable', heldMs: 0 },
      { outcome: 'unknown', heldMs: LEASE_EXPIRY_MS },
      { outcome: undefined, heldMs: LEASE_EXPIRY_MS },
    ];
    ends.forEach(({ outcome, heldMs }) => {
      it(`are held for ${heldMs} ms after ${outcome ?? 'the gateway died'}`, (t) =>
        withHome(async (home) => {
          await home.deliver(GATEWAY, home.ticket());
          const [grant] = home.grants();
          if (outcome) await home.deliver(GATEWAY, HomeFixture.ended(grant!, outcome));
          t.equal(home.credits.inUse.size, heldMs > 0 ? 1 : 0);
          await home.advance(heldMs);
          t.equal(home.credits.inUse.size, heldMs > 0 ? 1 : 0, 'not before the lease expires');
          await home.advance(1_000);
          t.equal(home.credits.inUse.size, 0);
        })());
    });

    it('acknowledges all ended grants of a turn in one message, also unknown ones', (t) =>
      withHome(async (home) => {
        await home.deliver(GATEWAY, home.ticket(), home.ticket());
        const reports = home.grants().map((grant) => HomeFixture.ended(grant));
        await home.deliver(
          GATEWAY,
          ...reports,
          HomeFixture.ended({ ...home.grants()[0]!, grantId: 'old' }),
        );
        t.same(
          home.network.of('grant-ended-ack').map(({ grantIds }) => grantIds.length),
          [3],
        );
      })());
  });

  describe('a new home', () => {
    it('delays its first grant to collect the resent tickets', (t) =>
      withHome(async (home) => {
        home.homes.set([GATEWAY, 'e0']);
        await HomeFixture.settle();
        home.homes.set(['e0', GATEWAY]);
        await home.deliver(GATEWAY, home.ticket());
        t.equal(home.grants().length, 0);
        await home.advance(500);
        t.equal(home.grants().length, 1);
      })());

    it('counts the work that gateways report on its targets', (t) =>
      withHome(async (home) => {
        const before = new HomeFixture(1);
        await before.deliver(GATEWAY, before.ticket({ urgency: 'urgent' }));
        const [model] = before.grants();
        before.dispose();
        const grants = Array.from({ length: 6 }, (_, index) => ({
          ...model!,
          grantId: `old${index}`,
        }));
        await home.deliver(GATEWAY, { kind: 'work-report', grants });
        const urgent = Array.from({ length: 8 }, () => home.ticket({ urgency: 'urgent' }));
        await home.deliver(GATEWAY, ...urgent);
        t.equal(home.grants().length, 2);
        await home.deliver(GATEWAY, HomeFixture.ended(grants[0]!));
        t.equal(home.grants().length, 3);
        await home.deliver(GATEWAY, { kind: 'work-report', grants: [] });
        t.equal(home.grants().length, 8);
      }, 1)());
  });

  describe('a gateway that dies', () => {
    it('gets a limited number of further grants if it has acknowledged grants before', (t) =>
      withHome(async (home) => {
        await home.deliver(GATEWAY, home.ticket());
        const { grantId } = home.grants()[0]!;
        await home.deliver(GATEWAY, { kind: 'grants-taken', grantIds: [grantId] });
        await home.deliver(GATEWAY, ...Array.from({ length: 40 }, () => home.ticket()));
        t.equal(home.grants().length, 1 + 16);
        await home.deliver(GATEWAY, { kind: 'grants-taken', grantIds: [] });
        t.ok(home.grants().length > 1 + 16);
      }, 8)());

    it('has its tickets dropped when it is no longer a member', (t) =>
      withHome(async (home) => {
        const lost = Array.from({ length: 20 }, () => home.ticket({ urgency: 'urgent' }));
        await home.deliver('g2', ...lost);
        home.homes.set(['e0', GATEWAY]);
        await HomeFixture.settle();
        t.equal(home.dispatcher.waitingTickets, 0);
        t.equal(home.credits.inUse.size, SLOTS, 'its grants stay open until their leases expire');
        await home.advance(LEASE_EXPIRY_MS + 1_000);
        t.equal(home.credits.inUse.size, 0);
      })());
  });

  describe('urgent work', () => {
    it('causes background work to be checkpointed when it waits too long', (t) =>
      withHome(async (home) => {
        const background = Array.from({ length: SLOTS }, () => home.ticket());
        await home.deliver(GATEWAY, ...background);
        const started = home.grants().length;
        t.ok(started < SLOTS, 'the headroom is left free');
        const urgent = Array.from({ length: SLOTS - started + 2 }, () =>
          home.ticket({ urgency: 'urgent', teamId: 'b' }),
        );
        await home.deliver(GATEWAY, ...urgent);
        await home.advance(2_000);
        t.equal(home.control.checkpoints.length, 0);
        await home.advance(1_000);
        t.equal(home.control.checkpoints.length, 2, 'one checkpoint for each waiting ticket');
        await home.advance(1_000);
        t.equal(home.control.checkpoints.length, 2);
      })());
  });

  describe('closed targets', () => {
    const ways: readonly { name: string; leave: (home: HomeFixture) => Promise<void> }[] = [
      {
        name: 'listed as leaving by the platform',
        leave: async (home) => {
          home.directory.setLeaving('t0');
          await home.advance(1_000);
          Object.assign(home.directory, { failing: true });
        },
      },
      {
        name: 'closed by a maintenance controller',
        leave: (home) => home.deliver('g2', { kind: 'targets-closed', instanceIds: ['t0'] }),
      },
      {
        name: 'with the intent to drain',
        leave: async (home) => {
          const { document } = home.config.state();
          const instances = { ...document.instances };
          instances.t0 = { ...instances.t0!, intent: 'draining' };
          home.config.set({ ...document, instances });
          await HomeFixture.settle();
        },
      },
    ];
    ways.forEach(({ name, leave }) => {
      it(`get no new grant: ${name}`, (t) =>
        withHome(async (home) => {
          await leave(home);
          const urgent = Array.from({ length: 20 }, () => home.ticket({ urgency: 'urgent' }));
          await home.deliver(GATEWAY, ...urgent);
          t.same(
            home.grants().filter(({ targetId }) => targetId === 't0'),
            [],
          );
          t.equal(home.grants().length, 8);
        })());
    });

    it('are reported with their open grants once the home has settled', (t) =>
      withHome(async (home) => {
        await home.deliver(GATEWAY, home.ticket(), home.ticket());
        home.directory.setLeaving('t0');
        await home.advance(2_000);
        t.same(home.network.of('drain-status'), []);
        await home.advance(3_000);
        t.same(home.network.of('drain-status').at(-1)?.instances, [
          { instanceId: 't0', openGrants: 1 },
        ]);
        const onClosed = home.grants().find(({ targetId }) => targetId === 't0');
        await home.deliver(GATEWAY, HomeFixture.ended(onClosed!));
        await home.advance(1_000);
        t.same(home.network.of('drain-status').at(-1)?.instances, [
          { instanceId: 't0', openGrants: 0 },
        ]);
      })());

    it('accept work again when the controller that closed them no longer repeats it', (t) =>
      withHome(async (home) => {
        await home.deliver('g2', { kind: 'targets-closed', instanceIds: ['t0', 't1'] });
        await home.deliver(GATEWAY, home.ticket());
        t.equal(home.grants().length, 0);
        await home.advance(6_000);
        t.equal(home.grants().length, 1);
      })());
  });

  describe('retries', () => {
    it('are refused once the retry budget is spent', (t) =>
      withHome(async (home) => {
        const retries = Array.from({ length: 12 }, () => home.ticket({ attempt: 2 }));
        await home.deliver(GATEWAY, ...retries);
        t.same(
          home.refusals().map(({ reason }) => reason),
          ['retry-budget-spent', 'retry-budget-spent'],
        );
      })());
  });
});

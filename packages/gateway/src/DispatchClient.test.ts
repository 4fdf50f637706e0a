import { type EntryId, EventEmitter, type HomeMap, ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import {
  type Grant,
  type PeerMessage,
  type PeerNetwork,
  type ReceivedMessage,
  type Ticket,
} from '@acaciadock/peers';
import { type TicketEnd } from './OpenTicket.js';
import { DispatchClient } from './DispatchClient.js';

interface Sent {
  readonly to: EntryId;
  readonly message: PeerMessage;
}

class FakeNetwork implements PeerNetwork {
  readonly selfEntryId = 'e0';

  readonly arrivals = new EventEmitter<ReceivedMessage>();

  readonly onMessage = this.arrivals.event;

  readonly sent: Sent[] = [];

  readonly down = new Set<EntryId>();

  send(to: EntryId, message: PeerMessage): boolean {
    if (this.down.has(to)) return false;
    this.sent.push({ to, message });
    return true;
  }

  setPeers(): void {
    this.sent.length = 0;
  }

  ticketsTo(entryId: EntryId): number {
    return this.sent.filter(({ to, message }) => to === entryId && message.kind === 'ticket')
      .length;
  }

  outcomes(): string[] {
    return this.sent.flatMap(({ message }) =>
      message.kind === 'grant-ended' ? [message.outcome] : [],
    );
  }
}

class FakeHomes implements HomeMap {
  readonly changes = new EventEmitter<void>();

  readonly onChange = this.changes.event;

  ranked: Record<string, EntryId[]> = { a: ['e1', 'e2'], b: ['e2', 'e1'] };

  rankedHomes(serviceId: string): readonly EntryId[] {
    return this.ranked[serviceId] ?? [];
  }

  live: EntryId[] = ['e0', 'e1', 'e2'];

  liveEntries(): readonly EntryId[] {
    return this.live;
  }
}

function ticket(ticketId: string, serviceId = 'a'): Ticket {
  return {
    kind: 'ticket',
    ticketId,
    serviceId,
    teamId: 'team',
    urgency: 'urgent',
    acceptedAtMs: 0,
    deadlineAtMs: 1,
    idempotent: true,
    attempt: 1,
    avoidTargetIds: [],
    avoidRackIds: [],
  };
}

function grantOf(ticketId: string, grantId: string, clock: ManualClock): Grant {
  return {
    kind: 'grant',
    ticketId,
    grantId,
    serviceId: 'a',
    teamId: 'team',
    targetId: 't1',
    startByMs: clock.unixMs() + 1_000,
    leaseExpiresAtMs: clock.unixMs() + 5_000,
    creditUseId: 'u1',
    creditHolderEntryId: 'e1',
    creditEpoch: 0,
  };
}

function createFixture() {
  const clock = new ManualClock();
  const network = new FakeNetwork();
  const homes = new FakeHomes();
  const client = new DispatchClient(homes, network, clock);
  const ends: TicketEnd[] = [];
  const submit = (id: string, serviceId?: string): void =>
    client.submit(ticket(id, serviceId), (end) => ends.push(end));
  const arrive = (fromEntryId: EntryId, message: PeerMessage): void =>
    network.arrivals.fire({ fromEntryId, message });
  return { clock, network, homes, client, ends, submit, arrive };
}

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

describe('DispatchClient', () => {
  describe('a waiting ticket', () => {
    it('is resent with growing delays while no reply arrives', (t) => {
      const { clock, network, submit } = createFixture();
      submit('r:1');
      clock.advance(1_900);
      t.equal(network.ticketsTo('e1'), 1);
      clock.advance(300);
      t.equal(network.ticketsTo('e1'), 2);
      clock.advance(60_000);
      t.ok(network.ticketsTo('e1') <= 8);
    });

    it('is resent once a link that was down is up', (t) => {
      const { clock, network, submit } = createFixture();
      network.down.add('e1');
      submit('r:1');
      network.down.clear();
      clock.advance(300);
      t.equal(network.ticketsTo('e1'), 1);
    });

    it('is resent to the new home only when its home changes', (t) => {
      const { network, homes, submit } = createFixture();
      submit('r:1', 'a');
      submit('r:2', 'b');
      homes.ranked = { a: ['e2'], b: ['e2'] };
      homes.changes.fire();
      t.equal(
        network.ticketsTo('e2'),
        2,
        'the ticket of service a moved; that of b had been sent before',
      );
    });

    it('is sent to the next home when its home returns it', (t) => {
      const { network, submit, arrive } = createFixture();
      submit('r:1');
      arrive('e1', { kind: 'tickets-returned', ticketIds: ['r:1', 'unknown'] });
      t.equal(network.ticketsTo('e2'), 1);
    });

    it('is refused when every home is fenced or stopping', (t) => {
      const { ends, submit, arrive } = createFixture();
      submit('r:1');
      const refusal = { kind: 'ticket-refused', ticketId: 'r:1', retryAfterMs: 1 } as const;
      arrive('e1', { ...refusal, reason: 'fenced' });
      t.same(ends, []);
      arrive('e2', { ...refusal, reason: 'stopping' });
      t.same(ends, [{ kind: 'refused', refusal: { ...refusal, reason: 'stopping' } }]);
    });
  });

  describe('a grant', () => {
    it('settles its ticket once, and a duplicate of it is not returned', (t) => {
      const { clock, network, ends, submit, arrive } = createFixture();
      submit('r:1');
      const grant = grantOf('r:1', 'g1', clock);
      arrive('e1', grant);
      arrive('e1', grant);
      t.equal(ends.length, 1);
      t.same(network.outcomes(), []);
    });

    it('from a second home is returned unused', (t) => {
      const { clock, network, submit, arrive } = createFixture();
      submit('r:1');
      arrive('e1', grantOf('r:1', 'g1', clock));
      arrive('e2', grantOf('r:1', 'g2', clock));
      t.same(network.outcomes(), ['not-started']);
    });

    it('that arrives after the cancellation is returned unused', (t) => {
      const { clock, network, ends, client, submit, arrive } = createFixture();
      submit('r:1');
      client.cancel('r:1');
      arrive('e1', grantOf('r:1', 'g1', clock));
      t.same(network.outcomes(), ['not-started']);
      t.same(ends, []);
    });
  });

  describe('the end of a grant', () => {
    it('is reported again until it is acknowledged', (t) => {
      const { clock, network, client, arrive } = createFixture();
      client.end('e1', grantOf('r:1', 'g1', clock), 'succeeded', 5);
      clock.advance(700);
      t.same(network.outcomes(), ['succeeded', 'succeeded']);
      arrive('e1', { kind: 'grant-ended-ack', grantIds: ['g1'] });
      clock.advance(60_000);
      t.equal(network.outcomes().length, 2);
    });

    it('is reported to the next home when the granting home is no longer live', (t) => {
      const { clock, network, homes, client } = createFixture();
      client.end('e1', grantOf('r:1', 'g1', clock), 'succeeded', 5);
      homes.live = ['e2'];
      homes.ranked = { a: ['e2'], b: ['e2'] };
      clock.advance(700);
      const reports = network.sent.filter(({ message }) => message.kind === 'grant-ended');
      t.same(
        reports.map(({ to }) => to),
        ['e1', 'e2'],
      );
    });

    it('is no longer reported after the maximum age of a report', (t) => {
      const { clock, client } = createFixture();
      client.end('e1', grantOf('r:1', 'g1', clock), 'succeeded', 5);
      clock.advance(180_000);
      t.equal(client.openReports, 0);
    });
  });

  it('sends 10,000 cancellations of one event-loop turn in ten messages', async (t) => {
    const { network, client, submit } = createFixture();
    for (let n = 0; n < 10_000; n += 1) submit(`r${n}:1`);
    network.sent.length = 0;
    for (let n = 0; n < 10_000; n += 1) client.cancel(`r${n}:1`);
    await nextTurn();
    t.equal(network.sent.length, 10);
    t.equal(client.waitingTickets, 0);
  });
});

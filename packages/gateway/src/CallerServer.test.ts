import { connect, type Socket } from 'node:net';
import { type ConfigState, type ConfigView, TeamKey } from '@acaciadock/config';
import {
  EventEmitter,
  type Fence,
  type FenceReason,
  type HomeMap,
  type OutcomeRecorder,
  Random,
  SystemClock,
} from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { type PeerMessage, type PeerNetwork, type ReceivedMessage } from '@acaciadock/peers';
import { HttpLogService, HttpPlatformClient } from '@acaciadock/platform';
import { exampleDocument, LogStandIn, TargetStandIn } from '@acaciadock/testkit';
import fc from 'fast-check';
import { type CallerLimits } from './CallerServer.js';
import { claimHorizonOptionsFor } from './claims/ClaimHorizon.js';
import { Gateway } from './Gateway.js';
import { PROBLEM_TYPES } from './Problem.js';

const SEED = 5_004;
const FUZZ_RUNS = 150;
const HOUR_MS = 3_600_000;
const TEAM_ID = 'bench';

const limits: CallerLimits = {
  maxHeaderBytes: 4_096,
  headTimeoutMs: 300,
  requestTimeoutMs: 400,
  keepAliveMs: 5_000,
  checkPeriodMs: 50,
  maxBodyBytes: 50_000,
};

/** A home in the same process that grants every ticket a run on the only target. */
class GrantingNetwork implements PeerNetwork {
  readonly selfEntryId = 'e0';

  readonly arrivals = new EventEmitter<ReceivedMessage>();

  readonly onMessage = this.arrivals.event;

  readonly peers: string[] = [];

  send(_: string, message: PeerMessage): boolean {
    if (message.kind !== 'ticket') return true;
    const { ticketId, serviceId, teamId } = message;
    const startByMs = Date.now() + 1_000;
    const grant: PeerMessage = {
      kind: 'grant',
      ticketId,
      grantId: `g:${ticketId}`,
      serviceId,
      teamId,
      targetId: 't0',
      startByMs,
      leaseExpiresAtMs: startByMs + 1_000,
      creditUseId: 'u',
      creditHolderEntryId: 'e0',
      creditEpoch: 0,
    };
    setImmediate(() => this.arrivals.fire({ fromEntryId: 'e0', message: grant }));
    return true;
  }

  setPeers(): void {
    this.peers.length = 0;
  }
}

class Fixture {
  readonly clock = new SystemClock();

  readonly target = new TargetStandIn('t0', this.clock);

  readonly log = new LogStandIn(this.clock);

  private reason: FenceReason | undefined;

  gateway: Gateway | undefined;

  port = 0;

  key = '';

  private client: HttpPlatformClient | undefined;

  async start(): Promise<void> {
    this.target.runMs = () => 1;
    const config = this.configView(await this.target.listen());
    this.client = new HttpPlatformClient(`http://${await this.log.listen()}`);
    const fence: Fence = {
      onChange: new EventEmitter<undefined>().event,
      reason: () => this.reason,
    };
    const homes: HomeMap = {
      onChange: new EventEmitter<void>().event,
      rankedHomes: () => ['e0'],
      liveEntries: () => ['e0'],
    };
    const recorder: OutcomeRecorder = { record: () => undefined };
    this.gateway = new Gateway({
      selfEntryId: 'e0',
      config,
      fence,
      homes,
      network: new GrantingNetwork(),
      log: new HttpLogService(this.client),
      recorder,
      clock: this.clock,
      random: new Random(SEED),
      limits,
      claimHorizon: claimHorizonOptionsFor(HOUR_MS),
    });
    const address = await this.gateway.listen('127.0.0.1:0');
    this.port = Number(address.split(':')[1]);
  }

  async stop(): Promise<void> {
    this.gateway?.dispose();
    await this.client?.close();
    await Promise.all([this.target.close(), this.log.close()]);
  }

  closeFence(reason: FenceReason): void {
    this.reason = reason;
  }

  /** Writes bytes to a new connection and reads until the gateway or the test closes it. */
  exchange(write: (socket: Socket) => void, maxMs = 3_000): Promise<string> {
    return new Promise((resolve) => {
      const socket = connect(this.port, '127.0.0.1', () => write(socket));
      let text = '';
      socket.on('data', (bytes) => {
        text += bytes.toString('latin1');
      });
      socket.on('error', () => undefined);
      socket.on('close', () => resolve(text));
      socket.setTimeout(maxMs, () => socket.destroy());
    });
  }

  head(headers: readonly string[] = [], path = '/v1/services/advice/requests'): string {
    const authorization = `authorization: Bearer ${this.key}`;
    const lines = [`POST ${path} HTTP/1.1`, 'host: x', authorization, 'connection: close'];
    return `${[...lines, ...headers].join('\r\n')}\r\n\r\n`;
  }

  private configView(address: string): ConfigView {
    const document = exampleDocument({
      targets: [{ instanceId: 't0', address }],
      teams: { [TEAM_ID]: { share: 1, limit: 10 } },
      services: { advice: { idempotent: true }, filing: { idempotent: false } },
    });
    Object.values(document.services).forEach((service) => {
      Object.assign(service, { maxRequestBytes: 40_000 });
    });
    const created = TeamKey.create(TEAM_ID);
    this.key = created.key;
    const team = document.teams[TEAM_ID];
    if (team) team.keys[created.keyId] = { sha256: created.sha256, grantedAtMs: 0, note: '' };
    const state: ConfigState = { version: 1, offset: 0, document };
    return { onChange: new EventEmitter<ConfigState>().event, state: () => state };
  }
}

async function withFixture(use: (fixture: Fixture) => Promise<void>): Promise<void> {
  const fixture = new Fixture();
  await fixture.start();
  await use(fixture);
  await fixture.stop();
}

function problemOf(answer: string): string | undefined {
  return /"type":"urn:acaciadock:problem:([a-z-]+)"/.exec(answer)?.[1];
}

type Exchange = (fixture: Fixture) => (socket: Socket) => void;

describe('CallerServer', () => {
  const cases: readonly [string, Exchange, string][] = [
    [
      'bytes that are not HTTP',
      () => (socket) => socket.write('\x00\x01\r\n\r\n'),
      'malformed-request',
    ],
    [
      'headers that exceed the maximum size',
      (fixture) => (socket) => socket.write(fixture.head([`x-filler: ${'a'.repeat(8_000)}`])),
      'headers-too-large',
    ],
    [
      'a head that arrives too slowly',
      () => (socket) => socket.write('POST /v1/services/advice/requests HTTP/1.1\r\n'),
      'request-timeout',
    ],
    [
      'a body that arrives too slowly',
      (fixture) => (socket) => socket.write(`${fixture.head(['content-length: 10'])}abc`),
      'request-timeout',
    ],
    [
      'a declared length that is too large',
      (fixture) => (socket) => socket.write(fixture.head(['content-length: 40001'])),
      'request-too-large',
    ],
    [
      'a chunked body that grows too large',
      (fixture) => (socket) => {
        socket.write(fixture.head(['transfer-encoding: chunked']));
        socket.write(`9c41\r\n${'a'.repeat(40_001)}\r\n0\r\n\r\n`);
      },
      'request-too-large',
    ],
    [
      'two different lengths',
      (fixture) => (socket) =>
        socket.write(fixture.head(['content-length: 1', 'content-length: 2'])),
      'malformed-request',
    ],
    [
      'a malformed chunk size',
      (fixture) => (socket) =>
        socket.write(`${fixture.head(['transfer-encoding: chunked'])}zz\r\n`),
      'malformed-request',
    ],
    [
      'an unsupported expectation',
      (fixture) => (socket) => socket.write(fixture.head(['expect: wonders', 'content-length: 0'])),
      'expectation-failed',
    ],
    [
      'an unknown service',
      (fixture) => (socket) =>
        socket.write(fixture.head(['content-length: 0'], '/v1/services/x/requests')),
      'unknown-service',
    ],
  ];

  it('answers invalid input with a typed problem that reports executed: no', async (t) => {
    await withFixture(async (fixture) => {
      for (const [name, write, type] of cases) {
        const answer = await fixture.exchange(write(fixture));
        t.equal(problemOf(answer), type, name);
        t.match(answer, '"executed":"no"', name);
      }
      t.equal(fixture.target.runs.length, 0);
      t.equal(fixture.gateway?.heldBodyBytes, 0, 'no body is held afterwards');
      t.equal(fixture.gateway?.requestsInFlight, 0);
    });
  });

  it('answers a complete request', async (t) => {
    await withFixture(async (fixture) => {
      const answer = await fixture.exchange((socket) => {
        socket.write(`${fixture.head(['content-length: 3'])}abc`);
      });
      t.match(answer, /^HTTP\/1.1 200/);
      t.match(answer, '"job":"abc"');
    });
  });

  it('does not run a request whose caller half-closes the connection within the body', async (t) => {
    await withFixture(async (fixture) => {
      await fixture.exchange((socket) => socket.end(`${fixture.head(['content-length: 10'])}abc`));
      t.equal(fixture.target.runs.length, 0);
      t.equal(fixture.gateway?.heldBodyBytes, 0);
    });
  });

  it('refuses bodies beyond its budget and sends retry-after', async (t) => {
    await withFixture(async (fixture) => {
      const slow = fixture.exchange((socket) =>
        socket.write(fixture.head(['content-length: 39000'])),
      );
      while (fixture.gateway?.heldBodyBytes !== 39_000) await fixture.clock.sleep(5);
      const refused = await fixture.exchange((socket) => {
        socket.write(fixture.head(['content-length: 12000']));
      });
      t.equal(problemOf(refused), 'entry-overloaded');
      t.match(refused, /retry-after: 1/i);
      t.equal(problemOf(await slow), 'request-timeout');
      while (fixture.gateway.heldBodyBytes > 0) await fixture.clock.sleep(5);
    });
  });

  it('refuses requests and reports not ready while the entry is fenced', async (t) => {
    await withFixture(async (fixture) => {
      fixture.closeFence('isolated');
      const refused = await fixture.exchange((socket) =>
        socket.write(fixture.head(['content-length: 0'])),
      );
      t.equal(problemOf(refused), 'not-ready');
      const ready = await fixture.exchange((socket) => {
        socket.write('GET /readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n');
      });
      t.match(ready, /^HTTP\/1.1 503/);
    });
  });

  it('answers any headers and body with an answer or a listed problem type', async (t) => {
    await withFixture(async (fixture) => {
      const header = fc.tuple(
        fc.constantFrom('x-urgency', 'x-deadline-ms', 'idempotency-key', 'content-type', 'x-a'),
        fc.string({ unit: 'binary-ascii', maxLength: 30 }),
      );
      const request = fc.record({
        service: fc.constantFrom('advice', 'filing'),
        headers: fc.array(header, { maxLength: 4 }),
        body: fc.string({ maxLength: 200 }),
        declared: fc.option(fc.integer({ min: 0, max: 300 }), { nil: undefined }),
      });
      await fc.assert(
        fc.asyncProperty(request, async ({ service, headers, body, declared }) => {
          const length = declared ?? Buffer.byteLength(body);
          const lines = headers.map(([name, value]) => `${name}: ${value}`);
          const head = fixture.head(
            [...lines, `content-length: ${length}`],
            `/v1/services/${service}/requests`,
          );
          const answer = await fixture.exchange((socket) => socket.end(`${head}${body}`));
          const type = problemOf(answer);
          const isListed = PROBLEM_TYPES.some((known) => known === type);
          // A caller that half-closes before its answer may get none, but never a partial one.
          return answer === '' || answer.startsWith('HTTP/1.1 200') || isListed;
        }),
        { seed: SEED, numRuns: FUZZ_RUNS },
      );
      await fixture.clock.sleep(100);
      t.equal(fixture.gateway?.heldBodyBytes, 0, `seed ${SEED}`);
      t.equal(fixture.gateway?.requestsInFlight, 0);
    });
  });
});

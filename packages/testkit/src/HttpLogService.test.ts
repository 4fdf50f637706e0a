import { describe, it } from '@acaciadock/core/testing';
import { SystemClock } from '@acaciadock/core';
import { HttpLogService, HttpPlatformClient } from '@acaciadock/platform';
import { describeLogService, type LogFault, LogHarness } from './contracts/logServiceContract.js';
import { LogStandIn } from './LogStandIn.js';

const FAULTS = {
  refused: (standIn: LogStandIn) => Object.assign(standIn.faults, { refuseAppends: 1 }),
  'answer lost': (standIn: LogStandIn) => Object.assign(standIn.answers, { lose: 1 }),
  'answer cut': (standIn: LogStandIn) => Object.assign(standIn.answers, { cut: 1 }),
  'answer no JSON': (standIn: LogStandIn) => Object.assign(standIn.answers, { garble: 1 }),
  'answer misshaped': (standIn: LogStandIn) => Object.assign(standIn.answers, { misshape: 1 }),
} as const;

class HttpLogHarness extends LogHarness {
  override readonly faults = ['unreachable', ...Object.keys(FAULTS)] as LogFault[];

  override readonly log: HttpLogService;

  private readonly client: HttpPlatformClient;

  private port = 0;

  private constructor(private readonly standIn: LogStandIn) {
    super();
    this.port = Number(standIn.address.split(':')[1]);
    this.client = new HttpPlatformClient(`http://${standIn.address}`);
    this.log = new HttpLogService(this.client);
  }

  static async open(): Promise<HttpLogHarness> {
    const standIn = new LogStandIn(new SystemClock());
    await standIn.listen();
    return new HttpLogHarness(standIn);
  }

  override async cause(fault: LogFault): Promise<void> {
    if (fault === 'unreachable') await this.standIn.close();
    else FAULTS[fault](this.standIn);
  }

  override async clearFaults(): Promise<void> {
    if (!this.standIn.isListening) await this.standIn.listen(this.port);
  }

  override expireBefore(stream: string, offset: number): void {
    this.standIn.expireBefore(stream, offset);
  }

  override count(stream: string): number {
    return this.standIn.records(stream).length;
  }

  override async close(): Promise<void> {
    await this.client.close();
    await this.standIn.close();
  }
}

describeLogService('HTTP adapter with the stand-in', () => HttpLogHarness.open());

describe('HttpLogService', () => {
  it('reports an append as unknown when the answer takes too long', async (t) => {
    const standIn = new LogStandIn(new SystemClock());
    const client = new HttpPlatformClient(`http://${await standIn.listen()}`);
    const log = new HttpLogService(client, { appendTimeoutMs: 50, readSlackMs: 50 });
    standIn.answers.slowMs = 600;
    t.match(await log.append('s', ['x']), { error: { kind: 'append-unknown' } });
    t.equal(standIn.records('s').length, 1);
    const read = await log.read({ stream: 's', fromOffset: 0, maxRecords: 1, waitMs: 0 });
    t.match(read, { error: { kind: 'log-unreachable' } });
    await client.close();
    await standIn.close();
  });

  it('expires records after the retention time', async (t) => {
    const standIn = new LogStandIn(new SystemClock());
    standIn.append('s', ['old']);
    standIn.retentionMs = -1;
    t.same(standIn.store.read('s', 0, 1), { kind: 'offset-expired', firstOffset: 1 });
  });
});

import { ManualClock, SystemClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import {
  HttpInstanceDirectory,
  HttpPlatformClient,
  type ListedInstance,
} from '@acaciadock/platform';
import {
  describeInstanceDirectory,
  type DirectoryFault,
  DirectoryHarness,
} from './contracts/instanceDirectoryContract.js';
import { DirectoryStandIn } from './DirectoryStandIn.js';

const FAULTS = {
  'answer lost': { lose: 1 },
  'answer cut': { cut: 1 },
  'answer no JSON': { garble: 1 },
  'answer misshaped': { misshape: 1 },
} as const;

class HttpDirectoryHarness extends DirectoryHarness {
  override readonly directory: HttpInstanceDirectory;

  private readonly client: HttpPlatformClient;

  private constructor(private readonly standIn: DirectoryStandIn) {
    super();
    this.client = new HttpPlatformClient(`http://${standIn.address}`);
    this.directory = new HttpInstanceDirectory(this.client);
  }

  static async open(): Promise<HttpDirectoryHarness> {
    const standIn = new DirectoryStandIn(new SystemClock());
    await standIn.listen();
    return new HttpDirectoryHarness(standIn);
  }

  override set(listed: ListedInstance): void {
    this.standIn.set(listed);
  }

  override remove(instanceId: string): void {
    this.standIn.remove(instanceId);
  }

  override async cause(fault: DirectoryFault): Promise<void> {
    if (fault === 'unreachable') await this.standIn.close();
    else Object.assign(this.standIn.answers, FAULTS[fault]);
  }

  override async close(): Promise<void> {
    await this.client.close();
    await this.standIn.close();
  }
}

describeInstanceDirectory('HTTP adapter with the stand-in', () => HttpDirectoryHarness.open());

describe('DirectoryStandIn', () => {
  it('shows a change only after its lag', async (t) => {
    const clock = new ManualClock();
    const standIn = new DirectoryStandIn(clock, 1_000);
    const client = new HttpPlatformClient(`http://${await standIn.listen()}`);
    const directory = new HttpInstanceDirectory(client);
    standIn.set({ instanceId: 't1', role: 'target', state: 'live' });
    clock.advance(999);
    t.match(await directory.list(), { value: { instances: [] } });
    clock.advance(1);
    t.match(await directory.list(), { value: { instances: [{ instanceId: 't1' }] } });
    await client.close();
    await standIn.close();
  });
});

import { ManualClock } from '@acaciadock/core';
import { HttpInstanceControl, HttpPlatformClient } from '@acaciadock/platform';
import {
  type ControlFault,
  ControlHarness,
  describeInstanceControl,
} from './contracts/instanceControlContract.js';
import { ControlStandIn } from './ControlStandIn.js';

const REBOOT_MS = 1_000;
const FAULTS = {
  'answer lost': { lose: 1 },
  'answer cut': { cut: 1 },
  'answer no JSON': { garble: 1 },
  'answer misshaped': { misshape: 1 },
} as const;

class HttpControlHarness extends ControlHarness {
  override readonly control: HttpInstanceControl;

  private readonly client: HttpPlatformClient;

  private starts = 0;

  private constructor(
    private readonly standIn: ControlStandIn,
    private readonly clock: ManualClock,
  ) {
    super();
    this.client = new HttpPlatformClient(`http://${standIn.address}`);
    this.control = new HttpInstanceControl(this.client);
    standIn.onStart(() => {
      this.starts += 1;
    });
  }

  static async open(): Promise<HttpControlHarness> {
    const clock = new ManualClock();
    const standIn = new ControlStandIn(clock, REBOOT_MS);
    await standIn.listen();
    return new HttpControlHarness(standIn, clock);
  }

  override get startCount(): number {
    return this.starts;
  }

  override finish(failing: readonly string[] = []): void {
    failing.forEach((instanceId) => this.standIn.faults.failing.add(instanceId));
    this.clock.advance(REBOOT_MS);
  }

  override async cause(fault: ControlFault): Promise<void> {
    if (fault === 'unreachable') await this.standIn.close();
    else if (fault === 'refused') this.standIn.faults.refuse = 1;
    else Object.assign(this.standIn.answers, FAULTS[fault]);
  }

  override async close(): Promise<void> {
    await this.client.close();
    await this.standIn.close();
  }
}

describeInstanceControl('HTTP adapter with the stand-in', () => HttpControlHarness.open());

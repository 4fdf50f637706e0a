/** Fake instance control in virtual time; records the runs that each reboot would interrupt. */
import { type InstanceId, type ManualClock } from '@acaciadock/core';
import { type ControlFailure, InstanceControl, type OperationState } from '@acaciadock/platform';
import { err, ok, type Result } from 'neverthrow';

const REBOOT_MS = 400;

export interface Reboot {
  readonly operationId: string;
  readonly instanceId: InstanceId;
  readonly openRuns: number;
}

export class FakePlatform extends InstanceControl {
  down = false;

  /** Number of following reboot calls that take effect but whose answer is lost. */
  loseAnswers = 0;

  /** Instances whose reboots fail. */
  readonly failing = new Set<InstanceId>();

  readonly reboots: Reboot[] = [];

  readonly operations = new Map<string, OperationState>();

  /** Called when a reboot takes effect, before the call is answered. */
  onReboot: (reboot: Reboot) => void = () => undefined;

  constructor(
    private readonly clock: ManualClock,
    private readonly openRuns: (instanceId: InstanceId) => number,
  ) {
    super();
  }

  override async reboot(
    operationId: string,
    instanceId: InstanceId,
  ): Promise<Result<OperationState, ControlFailure>> {
    if (this.down) return err({ kind: 'control-unreachable' });
    if (!this.operations.has(operationId)) this.begin(operationId, instanceId);
    if (this.loseAnswers > 0) {
      this.loseAnswers -= 1;
      return err({ kind: 'control-unknown' });
    }
    return this.operation(operationId);
  }

  override async operation(operationId: string): Promise<Result<OperationState, ControlFailure>> {
    return ok(this.operations.get(operationId) ?? 'unknown');
  }

  override async checkpoint(): Promise<Result<OperationState, ControlFailure>> {
    return err({ kind: 'control-unreachable' });
  }

  private begin(operationId: string, instanceId: InstanceId): void {
    const reboot = { operationId, instanceId, openRuns: this.openRuns(instanceId) };
    this.operations.set(operationId, 'running');
    this.reboots.push(reboot);
    this.clock.after(REBOOT_MS, () => {
      this.operations.set(operationId, this.failing.has(instanceId) ? 'failed' : 'succeeded');
    });
    this.onReboot(reboot);
  }
}

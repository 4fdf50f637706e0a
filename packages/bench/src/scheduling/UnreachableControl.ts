/** The instance control of the platform in the fleet model: it is never reachable. */
import { InstanceControl } from '@acaciadock/platform';
import { err } from 'neverthrow';

export class UnreachableControl extends InstanceControl {
  override async reboot() {
    return err({ kind: 'control-unreachable' as const });
  }

  override async operation() {
    return err({ kind: 'control-unreachable' as const });
  }

  override async checkpoint() {
    return err({ kind: 'control-unreachable' as const });
  }
}

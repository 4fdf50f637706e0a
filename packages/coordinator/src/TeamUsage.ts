/**
 * Resource usage of each team over all pools, and the check of whether more tasks fit under the
 * team's limit. A run counts from before its start order is sent until its end is certain, so a
 * target that does not answer frees nothing.
 */
import { type ResourceLimit, type StepSpec } from '@acaciadock/jobs';

interface Usage {
  cpuMilli: number;
  memoryMb: number;
  gpuCount: number;
}

function fits(used: number, more: number, limit: number): boolean {
  return limit === 0 || used + more <= limit;
}

export class TeamUsage {
  private readonly byTeam = new Map<string, Usage>();

  usageOf(teamId: string): Readonly<Usage> {
    return this.byTeam.get(teamId) ?? { cpuMilli: 0, memoryMb: 0, gpuCount: 0 };
  }

  /** Whether `taskCount` more tasks of the step fit under the team's limit. */
  allows(teamId: string, step: StepSpec, limit: ResourceLimit | undefined, taskCount = 1): boolean {
    if (!limit) return true;
    const used = this.usageOf(teamId);
    return (
      fits(used.cpuMilli, step.cpuMilli * taskCount, limit.cpuMilli) &&
      fits(used.memoryMb, step.memoryMb * taskCount, limit.memoryMb) &&
      fits(used.gpuCount, step.gpuCount * taskCount, limit.gpuCount)
    );
  }

  add(teamId: string, step: StepSpec): void {
    this.change(teamId, step, 1);
  }

  remove(teamId: string, step: StepSpec): void {
    this.change(teamId, step, -1);
  }

  private change(teamId: string, step: StepSpec, sign: 1 | -1): void {
    const used = this.byTeam.get(teamId) ?? { cpuMilli: 0, memoryMb: 0, gpuCount: 0 };
    used.cpuMilli += sign * step.cpuMilli;
    used.memoryMb += sign * step.memoryMb;
    used.gpuCount += sign * step.gpuCount;
    this.byTeam.set(teamId, used);
  }
}

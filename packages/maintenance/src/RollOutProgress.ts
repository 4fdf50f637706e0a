/** Applies commands and ended jobs to the roll-out and to the list of wanted moves. */
import { type InstanceId } from '@acaciadock/core';
import { type CommandRecord, type MaintenanceCommand } from './MaintenanceRecord.js';
import {
  type Job,
  type MaintenanceState,
  type RollOut,
  type WantedMove,
} from './MaintenanceState.js';

/** Jobs in these states have not called the platform yet and can be cancelled. */
const CANCELLABLE_STATES: ReadonlySet<string> = new Set(['draining', 'drained']);

type RollOutCommand = Extract<
  MaintenanceCommand,
  { action: 'pause-roll-out' | 'resume-roll-out' | 'abort-roll-out' }
>;

function isOpen({ status }: RollOut): boolean {
  return status !== 'done' && status !== 'aborted';
}

export class RollOutProgress {
  /** The state after an operator's command; undefined if the command is not applicable. */
  static command(
    state: MaintenanceState,
    { commandId, command }: CommandRecord,
    atMs: number,
  ): MaintenanceState | undefined {
    if (command.action === 'move') {
      const { instanceId, toPoolId } = command;
      if (state.wantedMoves.some(({ moveId }) => moveId === commandId)) return undefined;
      const wanted = { moveId: commandId, instanceId, toPoolId };
      return { ...state, wantedMoves: [...state.wantedMoves, wanted] };
    }
    if (command.action === 'readmit') {
      return RollOutProgress.readmit(state, command.instanceId, atMs);
    }
    if (command.action === 'start-roll-out') return RollOutProgress.start(state, command, atMs);
    return RollOutProgress.changeStatus(state, command, atMs);
  }

  /** The state after a job has ended or failed. A failure stops the roll-out if it is open. */
  static jobEnded(state: MaintenanceState, job: Job, atMs: number): MaintenanceState {
    const { rollOut } = state;
    if (!rollOut || job.rollOutId !== rollOut.rollOutId) return state;
    if (job.state === 'failed') {
      const failed = [...rollOut.failed, job.instanceId];
      const status = isOpen(rollOut) ? 'stopped' : rollOut.status;
      return { ...state, rollOut: { ...rollOut, status, failed } };
    }
    if (job.purpose === 'move') {
      const lent = rollOut.lent.filter(
        ({ instanceId, fromPoolId }) =>
          instanceId !== job.instanceId || fromPoolId !== job.toPoolId,
      );
      return { ...state, rollOut: { ...rollOut, lent, moves: rollOut.moves + 1 } };
    }
    if (!job.rebooted) return state;
    return RollOutProgress.removePending(state, job.instanceId, atMs);
  }

  /** Records the moves that lend a spare instance. */
  static recordLoans(state: MaintenanceState, moves: readonly WantedMove[]): MaintenanceState {
    const { rollOut } = state;
    const lent = moves.flatMap(({ instanceId, toPoolId, lentFromPoolId }) =>
      lentFromPoolId === undefined ? [] : [{ instanceId, toPoolId, fromPoolId: lentFromPoolId }],
    );
    if (!rollOut || lent.length === 0) return state;
    return { ...state, rollOut: { ...rollOut, lent: [...rollOut.lent, ...lent] } };
  }

  /**
   * Removes an instance that was rebooted or is no longer in the configuration. The roll-out is
   * done when none is pending.
   */
  static removePending(
    state: MaintenanceState,
    instanceId: InstanceId,
    atMs: number,
  ): MaintenanceState {
    const { rollOut } = state;
    if (!rollOut?.pending.includes(instanceId)) return state;
    const pending = rollOut.pending.filter((other) => other !== instanceId);
    const failed = rollOut.failed.filter((other) => other !== instanceId);
    const isDone = pending.length === 0 && isOpen(rollOut);
    const ended = isDone ? { status: 'done' as const, endedAtMs: atMs } : {};
    return { ...state, rollOut: { ...rollOut, pending, failed, ...ended } };
  }

  private static start(
    state: MaintenanceState,
    command: Extract<MaintenanceCommand, { action: 'start-roll-out' }>,
    atMs: number,
  ): MaintenanceState | undefined {
    if (state.rollOut && isOpen(state.rollOut)) return undefined;
    if (state.rollOut?.rollOutId === command.rollOutId) return undefined;
    const pending = [...new Set(command.instanceIds)];
    const rollOut: RollOut = {
      rollOutId: command.rollOutId,
      status: 'running',
      startedAtMs: atMs,
      racksAtOnce: command.racksAtOnce,
      totalInstances: pending.length,
      pending,
      failed: [],
      moves: 0,
      lent: [],
    };
    return { ...state, rollOut };
  }

  private static changeStatus(
    state: MaintenanceState,
    command: RollOutCommand,
    atMs: number,
  ): MaintenanceState | undefined {
    const { rollOut } = state;
    if (!rollOut || !isOpen(rollOut) || rollOut.rollOutId !== command.rollOutId) return undefined;
    if (command.action === 'pause-roll-out') {
      return { ...state, rollOut: { ...rollOut, status: 'paused' } };
    }
    if (command.action === 'resume-roll-out') {
      return { ...state, rollOut: { ...rollOut, status: 'running' } };
    }
    return {
      ...state,
      jobs: RollOutProgress.cancelJobs(state, command.rollOutId),
      rollOut: { ...rollOut, status: 'aborted', endedAtMs: atMs },
    };
  }

  private static cancelJobs(state: MaintenanceState, rollOutId: string): MaintenanceState['jobs'] {
    const jobs = Object.entries(state.jobs).map(([jobId, job]) => {
      const isCancelled = job.rollOutId === rollOutId && CANCELLABLE_STATES.has(job.state);
      return [jobId, isCancelled ? { ...job, cancelled: true } : job] as const;
    });
    return Object.fromEntries(jobs);
  }

  /** Repeats the health checks of a failed job; undefined if the instance has no such job. */
  private static readmit(
    state: MaintenanceState,
    instanceId: InstanceId,
    atMs: number,
  ): MaintenanceState | undefined {
    const job = Object.values(state.jobs).find(
      (other) => other.instanceId === instanceId && other.state === 'failed',
    );
    if (!job) return undefined;
    const readmitted: Job = { ...job, state: 'probing', sinceMs: atMs };
    return { ...state, jobs: { ...state.jobs, [job.jobId]: readmitted } };
  }
}

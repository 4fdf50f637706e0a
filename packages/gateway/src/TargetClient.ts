/** Sends one run to one target. Every way it can end is a `TargetEnd`. */
import { type Clock, Disposable, type HomeMap } from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import { type AnswerCounts, noAnswerCounts } from './AnswerCounts.js';
import { TargetCall } from './TargetCall.js';
import { TargetPools } from './TargetPools.js';
import { type TargetRun } from './TargetRun.js';

const RUN_PATH = '/run';

export class TargetClient extends Disposable {
  /** Answers that were dropped since the start. */
  readonly dropped: AnswerCounts = noAnswerCounts();

  private running = 0;

  private readonly pools: TargetPools;

  constructor(
    homes: HomeMap,
    config: ConfigView,
    private readonly clock: Clock,
  ) {
    super();
    this.pools = this.register(new TargetPools(homes, config));
  }

  /** Sends that have not ended, those included whose callers went away. */
  get runningCalls(): number {
    return this.running;
  }

  /** Starts a send; the run is told of its start and its end. */
  start(run: TargetRun): TargetCall {
    this.running += 1;
    const call = new TargetCall(run, this.dropped, this.clock, this.callEnded);
    this.pools.poolFor(run).dispatch(
      {
        method: 'POST',
        path: RUN_PATH,
        headers: {
          'content-type': run.contentType,
          'x-request-id': run.requestId,
          'x-service-id': run.serviceId,
          'x-team-id': run.teamId,
          'x-target-id': run.targetId,
          'x-lease-expires-at-ms': String(run.leaseExpiresAtMs),
        },
        body: run.body,
      },
      call,
    );
    return call;
  }

  private readonly callEnded = (): void => {
    this.running -= 1;
  };
}

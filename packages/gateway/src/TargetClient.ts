/** Sends one run to one target. Every way it can end is a `TargetEnd`. */
import { type Clock, Disposable, type HomeMap } from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import { type AnswerCounts, noAnswerCounts } from './AnswerCounts.js';
import { OpenRuns } from './OpenRuns.js';
import { TargetCall } from './TargetCall.js';
import { TargetPools } from './TargetPools.js';
import { type TargetRun } from './TargetRun.js';

const RUN_PATH = '/run';

export class TargetClient extends Disposable {
  /** Answers that were dropped since the start. */
  readonly dropped: AnswerCounts = noAnswerCounts();

  readonly runs = new OpenRuns();

  private readonly pools: TargetPools;

  constructor(
    homes: HomeMap,
    config: ConfigView,
    private readonly clock: Clock,
  ) {
    super();
    this.pools = this.register(new TargetPools(homes, config));
  }

  /** Starts a send; the run is told of its start and its end. */
  start(run: TargetRun): TargetCall {
    this.runs.begin(run);
    const call = new TargetCall(run, this.dropped, this.clock, this.runs);
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
}

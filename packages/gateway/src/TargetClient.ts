/** Sends runs to targets. Each call ends with exactly one `TargetEnd`. */
import { type Clock, Disposable, type HomeMap } from '@acaciadock/core';
import { type ConfigView } from '@acaciadock/config';
import { type AnswerCounts, createAnswerCounts } from './AnswerCounts.js';
import { OpenRuns } from './OpenRuns.js';
import { TargetCall } from './TargetCall.js';
import { ConnectionPools } from './ConnectionPools.js';
import { type TargetRun } from './TargetRun.js';

const RUN_PATH = '/run';

export class TargetClient extends Disposable {
  /** Number of answers dropped since the start, by cause. */
  readonly dropped: AnswerCounts = createAnswerCounts();

  readonly runs = new OpenRuns();

  private readonly pools: ConnectionPools;

  constructor(
    homes: HomeMap,
    config: ConfigView,
    private readonly clock: Clock,
  ) {
    super();
    this.pools = this.register(new ConnectionPools(homes, config));
  }

  /** Starts a call. `run.onStart` and `run.onEnd` report its progress. */
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

/** Logs one event for each request that ended, with its outcome but without API key or body. */
import { type Logger, OutcomeRecorder, type RequestOutcome } from '@acaciadock/core';

export class RequestLog extends OutcomeRecorder {
  constructor(private readonly logger: Logger) {
    super();
  }

  override record(outcome: RequestOutcome): void {
    if (outcome.ok) this.logger.debug('request-answered', { ...outcome });
    else this.logger.info('request-not-answered', { ...outcome });
  }
}

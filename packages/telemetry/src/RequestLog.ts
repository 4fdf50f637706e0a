/** One log line for each request that ended: who, what, how, and no key or body. */
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

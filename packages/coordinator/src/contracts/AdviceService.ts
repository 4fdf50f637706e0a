/** Contract of the external service that decides which targets may run a step. */
import { type Result } from 'neverthrow';

export interface AdviceTicket {
  readonly targetId: string;
  readonly ticket: string;
}

export interface AdviceAnswer {
  readonly tickets: readonly AdviceTicket[];
  readonly validityMs: number;
}

export interface AdviceFailure {
  readonly kind: 'advice-unavailable';
  readonly detail: string;
}

/**
 * Issues tickets for the targets that may run a step. The service answers one call at a time for
 * each caller.
 */
export abstract class AdviceService {
  abstract advise(
    stepId: string,
    targetIds: readonly string[],
  ): Promise<Result<AdviceAnswer, AdviceFailure>>;
}

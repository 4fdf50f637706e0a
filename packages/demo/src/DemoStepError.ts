/** Thrown when a step of the walk-through fails. */
export class DemoStepError extends Error {
  constructor(
    readonly step: string,
    readonly detail: unknown,
  ) {
    super(`${step}: ${JSON.stringify(detail)}`);
  }
}

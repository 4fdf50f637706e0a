/** A step of the walk that did not end as it should. */
export class DemoStepFailed extends Error {
  constructor(
    readonly step: string,
    readonly detail: unknown,
  ) {
    super(`${step}: ${JSON.stringify(detail)}`);
  }
}

/** Step definitions: each maps a line of a feature file to an action on the scenario's world. */

export interface Step<World> {
  /** Must match the whole step line; its capture groups become the parameters. */
  readonly pattern: RegExp;
  readonly run: (world: World, ...parameters: string[]) => void | Promise<void>;
}

export abstract class StepLibrary<World> {
  abstract readonly steps: readonly Step<World>[];
}

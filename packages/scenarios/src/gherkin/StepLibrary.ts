/** Steps of the scenario language: what a line of a feature file does to the world of a scenario. */

export interface Step<World> {
  /** Fits a whole step line; its groups are the parameters. */
  readonly pattern: RegExp;
  readonly run: (world: World, ...parameters: string[]) => void | Promise<void>;
}

export abstract class StepLibrary<World> {
  abstract readonly steps: readonly Step<World>[];
}

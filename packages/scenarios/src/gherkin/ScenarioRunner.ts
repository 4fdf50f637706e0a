/** Runs the steps of a scenario in order and stops at the first that fails. */
import { err, ok, type Result } from 'neverthrow';
import { type Scenario, type ScenarioFailure } from './Scenario.js';
import { type Step, type StepLibrary } from './StepLibrary.js';

interface BoundStep<World> {
  readonly text: string;
  readonly step: Step<World>;
  readonly parameters: readonly string[];
}

export class ScenarioRunner<World> {
  private readonly steps: readonly Step<World>[];

  constructor(libraries: readonly StepLibrary<World>[]) {
    this.steps = libraries.flatMap((library) => library.steps);
  }

  /** Runs a scenario. Every line is matched to a step definition before the first step runs. */
  async run(scenario: Scenario, world: World): Promise<Result<void, ScenarioFailure>> {
    const bound: BoundStep<World>[] = [];
    for (const text of scenario.steps) {
      const found = this.bind(text);
      if (found.isErr()) return err(found.error);
      bound.push(found.value);
    }
    for (const { text, step, parameters } of bound) {
      try {
        await step.run(world, ...parameters);
      } catch (cause) {
        return err({ kind: 'step-failed', text, cause });
      }
    }
    return ok(undefined);
  }

  private bind(text: string): Result<BoundStep<World>, ScenarioFailure> {
    const matching = this.steps.flatMap((step) => {
      const match = step.pattern.exec(text);
      if (match?.[0] !== text) return [];
      return [{ text, step, parameters: match.slice(1) }];
    });
    const [only, second] = matching;
    if (!only) return err({ kind: 'step-not-defined', text });
    if (second) return err({ kind: 'step-ambiguous', text });
    return ok(only);
  }
}

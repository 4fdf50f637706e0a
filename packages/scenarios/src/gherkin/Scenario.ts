/** A scenario parsed from a feature file, and the ways in which parsing or running it can fail. */

export interface Scenario {
  readonly featureName: string;
  readonly name: string;
  readonly steps: readonly string[];
}

export type ScenarioFailure =
  | { readonly kind: 'feature-malformed'; readonly detail: string }
  /** No step definition matches the line, or more than one does. */
  | { readonly kind: 'step-not-defined'; readonly text: string }
  | { readonly kind: 'step-ambiguous'; readonly text: string }
  | { readonly kind: 'step-failed'; readonly text: string; readonly cause: unknown };

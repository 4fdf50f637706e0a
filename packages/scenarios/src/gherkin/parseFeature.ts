/** Parses a feature file with `@cucumber/gherkin`; outlines and backgrounds are expanded. */
import { AstBuilder, compile, GherkinClassicTokenMatcher, Parser } from '@cucumber/gherkin';
import { IdGenerator } from '@cucumber/messages';
import { err, ok, type Result } from 'neverthrow';
import { type Scenario, type ScenarioFailure } from './Scenario.js';

export function parseFeature(
  text: string,
  uri: string,
): Result<readonly Scenario[], ScenarioFailure> {
  const newId = IdGenerator.incrementing();
  const parser = new Parser(new AstBuilder(newId), new GherkinClassicTokenMatcher());
  try {
    const document = parser.parse(text);
    const featureName = document.feature?.name ?? uri;
    const scenarios = compile(document, uri, newId).map((pickle) => ({
      featureName,
      name: pickle.name,
      steps: pickle.steps.map((step) => step.text),
    }));
    return ok(scenarios);
  } catch (cause) {
    return err({ kind: 'feature-malformed', detail: `${uri}: ${String(cause)}` });
  }
}

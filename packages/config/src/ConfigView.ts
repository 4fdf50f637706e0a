/**
 * Read-only access to the configuration in force at this entry. The document is never modified in
 * place: a new version is a new object.
 */
import { type Event } from '@acaciadock/core';
import { type ConfigDocument } from './ConfigDocument.js';

export interface ConfigState {
  /** The version number; 0 is the empty document before the first patch. */
  readonly version: number;
  /** Offset of the last record that was reduced; -1 before the first. */
  readonly offset: number;
  readonly document: ConfigDocument;
}

export abstract class ConfigView {
  /** Fires after a newer version has come into force at this entry. */
  abstract readonly onChange: Event<ConfigState>;

  /** The newest version in force at this entry. */
  abstract state(): ConfigState;
}

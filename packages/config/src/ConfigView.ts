/**
 * The configuration in force at this entry, for the packages that only read it. The document is
 * never changed in place: a new version is a new object.
 */
import { type Event } from '@acaciadock/core';
import { type ConfigDocument } from './ConfigDocument.js';

export interface ConfigState {
  /** Number of the version; 0 is the empty start before any patch. */
  readonly version: number;
  /** Offset of the last record that is reduced into this version; -1 before the first. */
  readonly offset: number;
  readonly document: ConfigDocument;
}

export abstract class ConfigView {
  /** Fires after a newer version came into force at this entry. */
  abstract readonly onChange: Event<ConfigState>;

  /** The newest version in force at this entry. */
  abstract state(): ConfigState;
}

/** Configuration shared by all entries; applies only patches based on the newest version. */
import { EventEmitter } from '@acaciadock/core';
import {
  type ConfigDocument,
  ConfigReducer,
  type ConfigState,
  type ConfigView,
} from '@acaciadock/config';
import { ConfigWriter, type MaintenancePatch, type WriteOutcome } from '../ConfigWriter.js';

export class SharedConfig extends ConfigWriter implements ConfigView {
  down = false;

  private readonly reducer: ConfigReducer;

  private readonly emitter = new EventEmitter<ConfigState>();

  readonly onChange = this.emitter.event;

  constructor(document: ConfigDocument) {
    super();
    this.reducer = new ConfigReducer(document);
  }

  state(): ConfigState {
    return this.reducer.state;
  }

  override async write(patch: MaintenancePatch): Promise<WriteOutcome> {
    if (this.down) return { kind: 'not-written' };
    const verdict = this.reducer.reduce(this.reducer.state.offset + 1, {
      kind: 'patch',
      schemaVersion: 1,
      author: 'test',
      submittedAtMs: 0,
      ...patch,
    });
    if (verdict.kind !== 'applied') return { kind: 'refused' };
    this.emitter.fire(this.reducer.state);
    return { kind: 'applied' };
  }
}

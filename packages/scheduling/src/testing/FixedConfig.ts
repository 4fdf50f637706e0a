/** A configuration view whose document is set by the test. */
import { EventEmitter } from '@acaciadock/core';
import { type ConfigDocument, type ConfigState, ConfigView } from '@acaciadock/config';

export class FixedConfig extends ConfigView {
  private readonly emitter = new EventEmitter<ConfigState>();

  override readonly onChange = this.emitter.event;

  constructor(private current: ConfigDocument) {
    super();
  }

  override state(): ConfigState {
    return { version: 1, offset: 0, document: this.current };
  }

  set(document: ConfigDocument): void {
    this.current = document;
    this.emitter.fire(this.state());
  }
}

/** A configuration that never changes. */
import { type ConfigState, ConfigView } from '@acaciadock/config';

export class StaticConfig extends ConfigView {
  override readonly onChange = () => ({ dispose: () => undefined });

  constructor(private readonly current: ConfigState) {
    super();
  }

  override state(): ConfigState {
    return this.current;
  }
}

/** A bounded list of the most recent configuration alarms, for display to operators. */
import { type Clock, Disposable } from '@acaciadock/core';
import { type ConfigAlarm } from './ConfigAlarm.js';
import { type ConfigFollower } from './ConfigFollower.js';

const MAX_ALARMS = 50;

export interface RaisedAlarm {
  readonly raisedAtMs: number;
  readonly alarm: ConfigAlarm;
}

export class AlarmLog extends Disposable {
  private raised: RaisedAlarm[] = [];

  constructor(follower: ConfigFollower, clock: Clock) {
    super();
    this.register(
      follower.onAlarm((alarm) => {
        this.raised = [...this.raised, { raisedAtMs: clock.unixMs(), alarm }].slice(-MAX_ALARMS);
      }),
    );
  }

  /** Oldest first. */
  list(): readonly RaisedAlarm[] {
    return this.raised;
  }
}

/** Settings of an entry that runs on loopback, on free ports, beside the stand-ins. */

const ANY_PORT = '127.0.0.1:0';

/** Anything that listens at `host:port`. */
export interface Listening {
  readonly address: string;
}

export interface PlatformStandIns {
  readonly log: Listening;
  readonly directory: Listening;
  readonly control: Listening;
}

export interface LoopbackSettings {
  readonly schemaVersion: 1;
  readonly entryId: string;
  readonly zoneId: string;
  readonly callerAddress: string;
  readonly operatorAddress: string;
  readonly peerAddress: string;
  readonly platform: {
    readonly logUrl: string;
    readonly directoryUrl: string;
    readonly controlUrl: string;
  };
}

export function loopbackSettings(entryId: string, platform: PlatformStandIns): LoopbackSettings {
  return {
    schemaVersion: 1,
    entryId,
    zoneId: 'zone-a',
    callerAddress: ANY_PORT,
    operatorAddress: ANY_PORT,
    peerAddress: ANY_PORT,
    platform: {
      logUrl: `http://${platform.log.address}`,
      directoryUrl: `http://${platform.directory.address}`,
      controlUrl: `http://${platform.control.address}`,
    },
  };
}

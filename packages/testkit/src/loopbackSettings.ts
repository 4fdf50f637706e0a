/** Settings of an entry that listens on free loopback ports and uses the platform stand-ins. */

const ANY_PORT = '127.0.0.1:0';

/** A server that listens at `host:port`. */
export interface ListeningServer {
  readonly address: string;
}

export interface PlatformStandIns {
  readonly log: ListeningServer;
  readonly directory: ListeningServer;
  readonly control: ListeningServer;
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

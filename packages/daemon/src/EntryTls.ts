/** The TLS key files and credentials of one entry, loaded before the entry is created. */
import { type Clock, Disposable, type Logger } from '@acaciadock/core';
import { err, ok, type Result } from 'neverthrow';
import { KeyFiles, type KeyFilesFailure } from './KeyFiles.js';
import { type PeerCredentials, peerCredentials } from './peerCredentials.js';
import { type Settings } from './Settings.js';

const DEFAULT_RELOAD_PERIOD_MS = 10_000;

export class EntryTls extends Disposable {
  private constructor(
    /** Key files for the servers of callers and operators; undefined means plain HTTP. */
    readonly servers: KeyFiles | undefined,
    readonly peers: PeerCredentials,
  ) {
    super();
    if (servers) this.register(servers);
  }

  /** No TLS on any connection. */
  static none(): EntryTls {
    return new EntryTls(undefined, peerCredentials(undefined, DEFAULT_RELOAD_PERIOD_MS));
  }

  /** Loads the key files that the settings name. */
  static async open(
    settings: Settings,
    clock: Clock,
    logger: Logger,
  ): Promise<Result<EntryTls, KeyFilesFailure>> {
    const { tls } = settings;
    if (!tls) return ok(EntryTls.none());
    const peers = peerCredentials(tls.peers, tls.reloadPeriodMs);
    if (!tls.callers) return ok(new EntryTls(undefined, peers));
    const opened = await KeyFiles.open(tls.callers, clock, tls.reloadPeriodMs);
    if (opened.isErr()) return err(opened.error);
    const entryTls = new EntryTls(opened.value, peers);
    entryTls.register(
      opened.value.onFailure((failure) => logger.error('key-files-not-usable', { ...failure })),
    );
    entryTls.register(opened.value.onChange(() => logger.info('key-files-renewed')));
    return ok(entryTls);
  }
}

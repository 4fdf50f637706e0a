/**
 * TLS key files that are reloaded periodically, so that a renewed certificate takes effect without
 * a restart. If the files cannot be read, or certificate and key do not match, the last valid pair
 * stays in use.
 */
import { readFile } from 'node:fs/promises';
import { createSecureContext, type SecureContextOptions } from 'node:tls';
import { type Clock, Disposable, EventEmitter } from '@acaciadock/core';
import { err, ok, type Result } from 'neverthrow';
import { type ServerTlsSettings } from './Settings.js';

export interface KeyFilesFailure {
  readonly kind: 'key-files-not-usable';
  readonly certFile: string;
  readonly keyFile: string;
  readonly detail: string;
}

/** Reads a certificate and its private key, and checks that they match. */
export async function readKeyFiles(
  settings: ServerTlsSettings,
): Promise<Result<SecureContextOptions, KeyFilesFailure>> {
  const { certFile, keyFile } = settings;
  try {
    const [cert, key] = await Promise.all([readFile(certFile), readFile(keyFile)]);
    createSecureContext({ cert, key });
    return ok({ cert, key });
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : String(cause);
    return err({ kind: 'key-files-not-usable', certFile, keyFile, detail });
  }
}

function isSameKeyPair(a: SecureContextOptions, b: SecureContextOptions): boolean {
  return String(a.cert) === String(b.cert) && String(a.key) === String(b.key);
}

export class KeyFiles extends Disposable {
  private readonly changeEmitter = this.register(new EventEmitter<SecureContextOptions>());

  private readonly failureEmitter = this.register(new EventEmitter<KeyFilesFailure>());

  /** Fires with a new valid pair. */
  readonly onChange = this.changeEmitter.event;

  /** Fires when a reload fails. */
  readonly onFailure = this.failureEmitter.event;

  private constructor(
    private readonly settings: ServerTlsSettings,
    private current: SecureContextOptions,
    clock: Clock,
    reloadPeriodMs: number,
  ) {
    super();
    this.register(
      clock.every(reloadPeriodMs, () => {
        void this.reload();
      }),
    );
  }

  /** Reads the files for the first time. Fails if they are not a valid pair. */
  static async open(
    settings: ServerTlsSettings,
    clock: Clock,
    reloadPeriodMs: number,
  ): Promise<Result<KeyFiles, KeyFilesFailure>> {
    const read = await readKeyFiles(settings);
    return read.map((options) => new KeyFiles(settings, options, clock, reloadPeriodMs));
  }

  /** The certificate and key in use. */
  get options(): SecureContextOptions {
    return this.current;
  }

  /** Reads the files again immediately. */
  async reload(): Promise<void> {
    const read = await readKeyFiles(this.settings);
    if (this.isDisposed) return;
    if (read.isErr()) {
      this.failureEmitter.fire(read.error);
      return;
    }
    if (isSameKeyPair(read.value, this.current)) return;
    this.current = read.value;
    this.changeEmitter.fire(read.value);
  }
}

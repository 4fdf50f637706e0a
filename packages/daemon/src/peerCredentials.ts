/**
 * Credentials for the links between entries. With key files both sides show a certificate of the
 * deployment's authority, and the files are looked at again from time to time by the gRPC library.
 */
import { ChannelCredentials, experimental, ServerCredentials } from '@grpc/grpc-js';
import { type PeerTlsSettings } from './Settings.js';

export interface PeerCredentials {
  readonly serverCredentials: ServerCredentials;
  readonly channelCredentials: ChannelCredentials;
}

/** Plain links without `tls`, mutual TLS with it. */
export function peerCredentials(
  tls: PeerTlsSettings | undefined,
  reloadPeriodMs: number,
): PeerCredentials {
  if (!tls) {
    return {
      serverCredentials: ServerCredentials.createInsecure(),
      channelCredentials: ChannelCredentials.createInsecure(),
    };
  }
  const provider = new experimental.FileWatcherCertificateProvider({
    certificateFile: tls.certFile,
    privateKeyFile: tls.keyFile,
    caCertificateFile: tls.caFile,
    refreshIntervalMs: reloadPeriodMs,
  });
  return {
    serverCredentials: experimental.createCertificateProviderServerCredentials(
      provider,
      provider,
      true,
    ),
    channelCredentials: experimental.createCertificateProviderChannelCredentials(
      provider,
      provider,
    ),
  };
}

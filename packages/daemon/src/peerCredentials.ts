/**
 * Credentials for the links between entries. With key files, both sides present a certificate
 * issued by the deployment's certificate authority, and the gRPC library reloads the files
 * periodically.
 */
import { ChannelCredentials, experimental, ServerCredentials } from '@grpc/grpc-js';
import { type PeerTlsSettings } from './Settings.js';

export interface PeerCredentials {
  readonly serverCredentials: ServerCredentials;
  readonly channelCredentials: ChannelCredentials;
}

/** Creates credentials for mutual TLS, or for plain links if `tls` is undefined. */
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

import { credentials, experimental, ServerCredentials } from "@grpc/grpc-js";
import type { PeerCredentials } from "../peers/types.ts";
import type { PeerListenerSettings } from "../settings/types.ts";

const RELOAD_INTERVAL_MS = 1_000;

/**
 * Creates the credentials for connections between instances: mutual TLS with
 * certificates that are reloaded on change, or plaintext if no certificates are
 * configured.
 */
export function createPeerCredentials({
  tls,
}: Pick<PeerListenerSettings, "tls">): PeerCredentials {
  if (tls === undefined) {
    return {
      client: credentials.createInsecure(),
      server: ServerCredentials.createInsecure(),
      certificateName: undefined,
    };
  }
  const certificates = new experimental.FileWatcherCertificateProvider({
    certificateFile: tls.certFile,
    privateKeyFile: tls.keyFile,
    caCertificateFile: tls.caFile,
    refreshIntervalMs: RELOAD_INTERVAL_MS,
  });
  return {
    client: experimental.createCertificateProviderChannelCredentials(
      certificates,
      certificates,
    ),
    server: experimental.createCertificateProviderServerCredentials(
      certificates,
      certificates,
      true,
    ),
    certificateName: tls.name,
  };
}

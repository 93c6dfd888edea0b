import { credentials, experimental, ServerCredentials } from "@grpc/grpc-js";
import type { PeerCredentials } from "../peers/types.ts";
import type { PeerListenerSettings } from "../settings/types.ts";

const RELOAD_MS = 1_000;

/**
 * Creates what instances prove themselves to each other with: mutual TLS,
 * its files read again when they change, or none where no files are set.
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
  const files = new experimental.FileWatcherCertificateProvider({
    certificateFile: tls.certFile,
    privateKeyFile: tls.keyFile,
    caCertificateFile: tls.caFile,
    refreshIntervalMs: RELOAD_MS,
  });
  return {
    client: experimental.createCertificateProviderChannelCredentials(
      files,
      files,
    ),
    server: experimental.createCertificateProviderServerCredentials(
      files,
      files,
      true,
    ),
    certificateName: tls.name,
  };
}

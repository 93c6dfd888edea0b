import { readFileSync, unwatchFile, watchFile } from "node:fs";
import type { Server } from "node:https";
import type { Log } from "../logs/create_log.ts";
import type { TlsSettings } from "../settings/types.ts";

/** Interval at which the files are checked for changes. */
const RELOAD_INTERVAL_MS = 1_000;

/** A watch on certificate files that runs until it is stopped. */
export type CertificateWatch = { readonly stop: () => void };

/**
 * Reloads a listener's certificate and key whenever one of the files changes.
 * While the two don't match, the previous pair stays in use until the next
 * change.
 */
export function followCertificate(
  server: Server,
  tls: TlsSettings,
  log: Log,
): CertificateWatch {
  const reload = (): void => {
    try {
      server.setSecureContext({
        cert: readFileSync(tls.certFile),
        key: readFileSync(tls.keyFile),
      });
      log.info("certificate-reloaded", { file: tls.certFile });
    } catch (error) {
      log.error("certificate-not-reloaded", {
        step: "reload",
        peer: tls.certFile,
        message: String(error),
      });
    }
  };
  const options = { interval: RELOAD_INTERVAL_MS, persistent: false };
  watchFile(tls.certFile, options, reload);
  watchFile(tls.keyFile, options, reload);
  return {
    stop: () => {
      unwatchFile(tls.certFile, reload);
      unwatchFile(tls.keyFile, reload);
    },
  };
}

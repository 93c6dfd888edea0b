import { readFileSync, unwatchFile, watchFile } from "node:fs";
import type { Server } from "node:https";
import type { Log } from "../logs/create_log.ts";
import type { TlsSettings } from "../settings/types.ts";

/** How often the files are looked at. */
const RELOAD_MS = 1_000;

/** Files that are followed until stopped. */
export type FollowedCertificate = { readonly stop: () => void };

/**
 * Takes up a listener's certificate and key again whenever a file changes. A
 * pair that doesn't fit yet is passed over until the next change.
 */
export function followCertificate(
  server: Server,
  tls: TlsSettings,
  log: Log,
): FollowedCertificate {
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
  const options = { interval: RELOAD_MS, persistent: false };
  watchFile(tls.certFile, options, reload);
  watchFile(tls.keyFile, options, reload);
  return {
    stop: () => {
      unwatchFile(tls.certFile, reload);
      unwatchFile(tls.keyFile, reload);
    },
  };
}

import { readFileSync } from "node:fs";
import {
  createServer,
  type RequestListener,
  type ServerOptions,
} from "node:http";
import {
  createServer as createSecureServer,
  type Server as TlsServer,
} from "node:https";
import type { AddressInfo } from "node:net";
import type { Log } from "../logs/create_log.ts";
import type { ListenerSettings, TlsSettings } from "../settings/types.ts";
import { followCertificate } from "../tls/follow_certificate.ts";
import { followRequests } from "./follow_requests.ts";
import { refuseMalformedRequest } from "./refuse_malformed_request.ts";
import type { Listener } from "./types.ts";

const MAX_HEADER_BYTES = 16_384;
const MAX_CHECK_INTERVAL_MS = 1_000;
const CHECKS_PER_TIMEOUT = 4;

/** Binds a listener; the timeouts close connections of slow senders. */
export async function listen(
  handler: RequestListener,
  { host, port, headersTimeoutMs, requestTimeoutMs, tls }: ListenerSettings,
  log: Log,
): Promise<Listener> {
  const shortestTimeoutMs = Math.min(headersTimeoutMs, requestTimeoutMs);
  const checkIntervalMs = Math.ceil(shortestTimeoutMs / CHECKS_PER_TIMEOUT);
  const options = {
    headersTimeout: Math.min(headersTimeoutMs, requestTimeoutMs),
    requestTimeout: requestTimeoutMs,
    connectionsCheckingInterval: Math.min(
      checkIntervalMs,
      MAX_CHECK_INTERVAL_MS,
    ),
    maxHeaderSize: MAX_HEADER_BYTES,
  };
  const server =
    tls === undefined
      ? createServer(options, handler)
      : createTlsServer(handler, { options, tls, log });
  server.on("clientError", refuseMalformedRequest);
  const tracking = followRequests(server);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address() as AddressInfo;
  return { address: `${bound.address}:${bound.port}`, ...tracking };
}

function createTlsServer(
  handler: RequestListener,
  {
    options,
    tls,
    log,
  }: {
    readonly options: ServerOptions;
    readonly tls: TlsSettings;
    readonly log: Log;
  },
): TlsServer {
  const server = createSecureServer(
    {
      ...options,
      cert: readFileSync(tls.certFile),
      key: readFileSync(tls.keyFile),
      minVersion: "TLSv1.2",
    },
    handler,
  );
  const watch = followCertificate(server, tls, log);
  server.once("close", () => watch.stop());
  return server;
}

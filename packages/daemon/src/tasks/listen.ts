import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { ListenerSettings } from "../settings/types.ts";
import { refuseBrokenRequest } from "./refuse_broken_request.ts";

const MAX_HEADER_BYTES = 16_384;
const MAX_CHECK_MS = 1_000;
const CHECKS_IN_TIMEOUT = 4;

/** A bound listener. */
export type Listener = {
  readonly server: Server;
  /** Address as `IP:port`. */
  readonly address: string;
};

/** Binds a listener; slow senders are cut off by the timeouts. */
export async function listen(
  handler: RequestListener,
  { host, port, headersTimeoutMs, requestTimeoutMs }: ListenerSettings,
): Promise<Listener> {
  const shortestMs = Math.min(headersTimeoutMs, requestTimeoutMs);
  const checkMs = Math.ceil(shortestMs / CHECKS_IN_TIMEOUT);
  const server = createServer(
    {
      headersTimeout: Math.min(headersTimeoutMs, requestTimeoutMs),
      requestTimeout: requestTimeoutMs,
      connectionsCheckingInterval: Math.min(checkMs, MAX_CHECK_MS),
      maxHeaderSize: MAX_HEADER_BYTES,
    },
    handler,
  );
  server.on("clientError", refuseBrokenRequest);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address() as AddressInfo;
  return { server, address: `${bound.address}:${bound.port}` };
}

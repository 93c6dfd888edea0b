import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { ListenerSettings } from "../settings/types.ts";

const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;

/** A bound listener. */
export type Listener = {
  readonly server: Server;
  /** Address as `IP:port`. */
  readonly address: string;
};

/** Binds a listener; slow senders are cut off by the timeouts. */
export async function listen(
  handler: RequestListener,
  { host, port }: ListenerSettings,
): Promise<Listener> {
  const server = createServer(
    { headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: REQUEST_TIMEOUT_MS },
    handler,
  );
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address() as AddressInfo;
  return { server, address: `${bound.address}:${bound.port}` };
}

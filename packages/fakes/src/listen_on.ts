import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";

/** An HTTP server that listens on loopback. */
export type Listening = {
  readonly url: string;
  readonly close: () => Promise<void>;
};

/** Starts an HTTP server on a loopback port; port 0 selects a free port. */
export async function listenOn(
  handler: RequestListener,
  port = 0,
): Promise<Listening> {
  const server = createServer(handler);
  await new Promise<void>((resolve) => {
    server.listen(port, "127.0.0.1", resolve);
  });
  const { port: boundPort } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${boundPort}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

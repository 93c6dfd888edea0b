import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";

/** A listening HTTP server on loopback. */
export type Listening = {
  readonly url: string;
  readonly close: () => Promise<void>;
};

/** Listens on a loopback port; port 0 takes any free one. */
export async function listenOn(
  handler: RequestListener,
  port = 0,
): Promise<Listening> {
  const server = createServer(handler);
  await new Promise<void>((resolve) => {
    server.listen(port, "127.0.0.1", resolve);
  });
  const { port: bound } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${bound}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** A test upstream on the loopback address. */
export type TestUpstream = {
  readonly address: string;
  /** Headers of each request received. */
  readonly seen: IncomingMessage["headers"][];
  readonly close: () => Promise<void>;
};

/** Starts an upstream that answers requests with `handle`. */
export async function startUpstream(
  handle: (req: IncomingMessage, res: ServerResponse) => void,
): Promise<TestUpstream> {
  const seen: IncomingMessage["headers"][] = [];
  const server = createServer((req, res) => {
    seen.push(req.headers);
    req.resume().on("end", () => handle(req, res));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    seen,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

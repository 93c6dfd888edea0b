import { type AddressInfo, createServer, type Socket } from "node:net";

/** An upstream that writes bytes as they are, on a loopback address. */
export type RawUpstream = {
  readonly address: string;
  /** Number of requests received. */
  readonly countRequests: () => number;
  /** Refuses new connections; open ones stay. */
  readonly stopListening: () => void;
  readonly close: () => Promise<void>;
};

const REQUEST_START = "POST ";

/**
 * Starts an upstream that answers each request head with `answer`, which gets the
 * connection and the number of requests received so far.
 */
export async function startRawUpstream(
  answer: (socket: Socket, count: number) => void,
): Promise<RawUpstream> {
  const sockets = new Set<Socket>();
  let requests = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => sockets.delete(socket));
    socket.on("data", (bytes) => {
      if (bytes.toString("latin1").startsWith(REQUEST_START)) {
        requests += 1;
        answer(socket, requests);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    countRequests: () => requests,
    stopListening: () => {
      server.close();
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        sockets.forEach((socket) => {
          socket.destroy();
        });
      }),
  };
}

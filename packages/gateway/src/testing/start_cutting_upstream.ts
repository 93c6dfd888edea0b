import { type AddressInfo, createServer, type Socket } from "node:net";

/** An upstream that answers early and resets, on a loopback address. */
export type CuttingUpstream = {
  readonly address: string;
  readonly countAnswers: () => number;
  readonly close: () => Promise<void>;
};

/**
 * Starts an upstream that writes `bytes` at the first byte of a request, and resets
 * the connection `afterMs` later without reading on.
 */
export async function startCuttingUpstream(
  bytes: Buffer,
  afterMs: number,
): Promise<CuttingUpstream> {
  const sockets = new Set<Socket>();
  const state = { answers: 0 };
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.once("close", () => sockets.delete(socket));
    socket.once("data", () => {
      state.answers += 1;
      socket.pause();
      socket.write(bytes);
      setTimeout(() => socket.resetAndDestroy(), afterMs);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    countAnswers: () => state.answers,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        sockets.forEach((socket) => {
          socket.destroy();
        });
      }),
  };
}

import type { AddressInfo } from "node:net";
import { createServer, type Socket } from "node:net";

const BLOCK = Buffer.alloc(64 * 1_024, "x");

/** An upstream that goes on writing until its connection is closed. */
export type EndlessUpstream = {
  readonly address: string;
  /** Bytes that connections have taken so far. */
  readonly countBytes: () => number;
  readonly countOpen: () => number;
  readonly close: () => Promise<void>;
};

/**
 * Starts an upstream that answers with `head` and then with blocks made by
 * `buildBlock`, which gets their count so far, without end.
 */
export async function startEndlessUpstream(
  head: string,
  buildBlock: (count: number) => Buffer | string = () => BLOCK,
): Promise<EndlessUpstream> {
  const open = new Set<Socket>();
  let bytes = 0;
  const writeOn = (socket: Socket, count: number): void => {
    if (!open.has(socket)) {
      return;
    }
    const block = Buffer.from(buildBlock(count));
    socket.write(block, (error) => {
      if (error === undefined || error === null) {
        bytes += block.length;
        setImmediate(() => writeOn(socket, count + 1));
      }
    });
  };
  const server = createServer((socket) => {
    open.add(socket);
    socket.on("error", () => open.delete(socket));
    socket.on("close", () => open.delete(socket));
    socket.once("data", () => {
      socket.write(head);
      writeOn(socket, 0);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    countBytes: () => bytes,
    countOpen: () => open.size,
    close: () =>
      new Promise((resolve) => {
        open.forEach((socket) => {
          socket.destroy();
        });
        server.close(() => resolve());
      }),
  };
}

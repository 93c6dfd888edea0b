import { connect, createServer, type Socket } from "node:net";
import type { FakeProxy } from "./types.ts";

/** Starts a TCP proxy on loopback that forwards to the server at `url`. */
export async function startProxy(url: string): Promise<FakeProxy> {
  const target = new URL(url);
  const sockets: Socket[] = [];
  const server = createServer((client) => {
    const upstream = connect(Number(target.port), target.hostname);
    sockets.push(client, upstream);
    [client, upstream].forEach((socket) => {
      socket.on("error", () => undefined);
    });
    client.pipe(upstream);
    upstream.pipe(client);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as { port: number };
  return {
    url: `http://127.0.0.1:${port}`,
    countConnections: () => sockets.length / 2,
    stopForwarding: () => {
      sockets.forEach((socket) => {
        socket.unpipe();
        socket.pause();
      });
    },
    close: () =>
      new Promise((resolve) => {
        sockets.forEach((socket) => {
          socket.destroy();
        });
        server.close(() => resolve());
      }),
  };
}

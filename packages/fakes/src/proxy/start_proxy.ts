import { connect, createServer, type Socket } from "node:net";
import { Transform } from "node:stream";
import { setTimeout as wait } from "node:timers/promises";
import type { FakeProxy, ProxyDirection } from "./types.ts";

/** How often a piece that is held back asks whether it may go on. */
const POLL_MS = 20;

type ProxyState = {
  delayMs: number;
  cutDirection: ProxyDirection | undefined;
};

/** Starts a TCP proxy on loopback that forwards to the server at `url`. */
export async function startProxy(url: string): Promise<FakeProxy> {
  const target = new URL(url);
  const sockets = new Set<Socket>();
  /** Each ends a client's connection in order. */
  const ends = new Set<() => void>();
  const state: ProxyState = { delayMs: 0, cutDirection: undefined };
  const count = { connections: 0 };
  const server = createServer({ allowHalfOpen: true }, (client) => {
    const upstream = connect({
      port: Number(target.port),
      host: target.hostname,
      allowHalfOpen: true,
    });
    count.connections += 1;
    relayEnds(client, upstream, sockets);
    relayEnds(upstream, client, sockets);
    client.pipe(createHold(state, "out")).pipe(upstream);
    const back = upstream.pipe(createHold(state, "back"));
    back.pipe(client);
    const end = (): void => {
      back.unpipe(client);
      client.end(() => client.destroy());
    };
    ends.add(end);
    client.once("close", () => ends.delete(end));
  });
  const listen = (port: number): Promise<void> =>
    new Promise((resolve) => {
      server.listen(port, "127.0.0.1", resolve);
    });
  await listen(0);
  const { port } = server.address() as { port: number };
  return {
    url: `http://127.0.0.1:${port}`,
    countConnections: () => count.connections,
    stopForwarding: () => {
      sockets.forEach((socket) => {
        socket.unpipe();
        socket.pause();
      });
    },
    reset: () => {
      sockets.forEach((socket) => {
        socket.resetAndDestroy();
      });
    },
    endAsKilled: () => {
      // Connections end before it stops listening, as the system closes files.
      ends.forEach((end) => {
        end();
      });
      server.close();
    },
    listenAgain: () => (server.listening ? Promise.resolve() : listen(port)),
    setDelay: (delayMs) => {
      state.delayMs = delayMs;
    },
    cut: (direction) => {
      state.cutDirection = direction;
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

/** A reset of one end resets the other; an end passes through the pipe. */
function relayEnds(socket: Socket, other: Socket, sockets: Set<Socket>): void {
  sockets.add(socket);
  socket.setNoDelay(true);
  socket.on("error", () => other.resetAndDestroy());
  socket.once("close", () => {
    sockets.delete(socket);
    if (!socket.readableEnded && !other.destroyed) {
      other.resetAndDestroy();
    }
  });
}

function createHold(state: ProxyState, direction: ProxyDirection): Transform {
  return new Transform({
    transform: (chunk, _encoding, done) => {
      void waitUntilOpen(state, direction).then(() => done(null, chunk));
    },
  });
}

async function waitUntilOpen(
  state: ProxyState,
  direction: ProxyDirection,
): Promise<void> {
  if (state.delayMs > 0) {
    await wait(state.delayMs);
  }
  while (state.cutDirection === direction) {
    await wait(POLL_MS);
  }
}

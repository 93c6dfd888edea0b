import { connect, createServer, type Server, type Socket } from "node:net";

/** How a path to an upstream is cut; `open` if it is not. */
export type PathState = "open" | "silent" | "reset" | "refuse";

/** A path to an upstream that a test can cut. */
export type Gate = {
  readonly address: string;
  /** Number of connections that were opened so far. */
  readonly countOpened: () => number;
  readonly setState: (state: PathState) => Promise<void>;
  readonly close: () => Promise<void>;
};

const HOST = "127.0.0.1";

/**
 * Starts a path to `target`. Cut as `silent`, nothing passes on any connection; as
 * `reset`, all are reset; as `refuse`, those that are open live on.
 */
export async function startGate(target: string): Promise<Gate> {
  const { hostname, port: targetPort } = new URL(`http://${target}`);
  const state = { path: "open" as PathState, opened: 0 };
  const pairs = new Set<readonly [Socket, Socket]>();
  const accept = (socket: Socket): void => {
    state.opened += 1;
    if (state.path === "reset") {
      socket.resetAndDestroy();
      return;
    }
    const other = connect(Number(targetPort), hostname);
    const pair = [socket, other] as const;
    pairs.add(pair);
    pair.forEach((end, index) => {
      end.setNoDelay(true);
      end.on("error", () => undefined);
      end.on("data", (bytes) => {
        if (state.path !== "silent") {
          pair[1 - index]?.write(bytes);
        }
      });
      end.on("close", () => {
        pairs.delete(pair);
        pair[1 - index]?.destroy();
      });
    });
  };
  const listen = (port: number): Promise<Server> =>
    new Promise((resolve) => {
      const server = createServer(accept).listen(port, HOST, () =>
        resolve(server),
      );
    });
  const listener = { server: await listen(0) };
  const bound = listener.server.address();
  const port = typeof bound === "object" ? (bound?.port ?? 0) : 0;
  return {
    address: `${HOST}:${port}`,
    countOpened: () => state.opened,
    setState: async (path) => {
      const before = state.path;
      state.path = path;
      if (path === "refuse") {
        listener.server.close();
      } else if (before === "refuse") {
        listener.server = await listen(port);
      }
      if (path === "reset") {
        pairs.forEach(([socket]) => {
          socket.resetAndDestroy();
        });
      }
    },
    close: async () => {
      pairs.forEach((pair) => {
        pair.forEach((end) => {
          end.destroy();
        });
      });
      listener.server.close();
    },
  };
}

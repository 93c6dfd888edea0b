import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Server as TlsServer } from "node:https";
import type { Socket } from "node:net";
import { closeListener } from "./close_listener.ts";
import type { Listener } from "./types.ts";

/** Tracks the requests in flight of a server, so that it can be drained. */
export function followRequests(
  server: Server | TlsServer,
): Pick<Listener, "startDrain" | "countInFlight" | "close"> {
  const inFlight = new Set<ServerResponse>();
  const control = { isDraining: false };
  const lastOf = new WeakMap<Socket, ServerResponse>();
  /** Answers that would keep their connection if there were no drain. */
  const endedHere = new WeakSet<ServerResponse>();
  const endConnection = (res: ServerResponse): void => {
    const isLast = lastOf.get(res.req.socket) === res;
    if (isLast && !res.headersSent && res.shouldKeepAlive) {
      endedHere.add(res);
      res.shouldKeepAlive = false;
    }
  };
  // Node closes only the answer that is being written on a connection.
  const followClose = (socket: Socket): void => {
    socket.once("close", () =>
      [...inFlight]
        .filter(({ req }) => req.socket === socket)
        .forEach((res) => {
          inFlight.delete(res);
        }),
    );
  };
  const recordRequest = (req: IncomingMessage, res: ServerResponse): void => {
    const previous = lastOf.get(req.socket);
    lastOf.set(req.socket, res);
    if (previous === undefined) {
      followClose(req.socket);
    }
    inFlight.add(res);
    res.once("close", () => inFlight.delete(res));
    if (!control.isDraining) {
      return;
    }
    // Its end of the connection would cut off the one behind it.
    if (previous !== undefined && endedHere.has(previous)) {
      previous.shouldKeepAlive ||= !previous.headersSent;
    }
    endConnection(res);
  };
  server.prependListener("request", recordRequest);
  const closeIdle = server.closeIdleConnections.bind(server);
  // Node takes a connection for idle whose answer is written, but not sent yet.
  server.closeIdleConnections = () => {
    if (![...inFlight].some(isUnsent)) {
      closeIdle();
    }
  };
  return {
    startDrain: () => {
      control.isDraining = true;
      inFlight.forEach(endConnection);
    },
    countInFlight: () => inFlight.size,
    close: (limitMs) => closeListener(server, limitMs),
  };
}

/** Whether an answer is written and waits for its caller to read it. */
function isUnsent(res: ServerResponse): boolean {
  return res.writableEnded && !res.writableFinished;
}

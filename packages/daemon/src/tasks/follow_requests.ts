import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Server as TlsServer } from "node:https";
import { closeListener } from "./close_listener.ts";
import type { Listener } from "./types.ts";

/** Follows the open requests of a server, so that it can be drained. */
export function followRequests(
  server: Server | TlsServer,
): Pick<Listener, "startDrain" | "countOpen" | "close"> {
  const open = new Set<ServerResponse>();
  const control = { isDraining: false };
  const note = (_req: IncomingMessage, res: ServerResponse): void => {
    open.add(res);
    res.once("close", () => open.delete(res));
    if (control.isDraining) {
      endConnection(res);
    }
  };
  server.prependListener("request", note);
  return {
    startDrain: () => {
      control.isDraining = true;
      open.forEach(endConnection);
    },
    countOpen: () => open.size,
    close: (limitMs) => closeListener(server, limitMs),
  };
}

/** Makes an answer that has not begun say `connection: close`. */
function endConnection(res: ServerResponse): void {
  if (!res.headersSent) {
    res.shouldKeepAlive = false;
  }
}

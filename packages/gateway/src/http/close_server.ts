import type { Server } from "node:http";

/** Closes a listener and all its connections. */
export function closeServer(server: Server): void {
  server.close();
  server.closeAllConnections();
}

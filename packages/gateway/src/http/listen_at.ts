import type { Server } from "node:http";
import type { Endpoint } from "../settings/types.ts";

/** Starts listening on an endpoint; rejects if the address can't be bound. */
export function listenAt(
  server: Server,
  { host, port }: Endpoint,
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.off("error", reject);
      resolve();
    });
  });
}

import type { Server } from "node:http";
import type { Endpoint } from "../settings/types.ts";

/** Listens at an endpoint; rejects where that is not possible. */
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

import type { ServerResponse } from "node:http";

/** Lets an answer end with its connection: no length, no chunks. */
export function endWithConnection(res: ServerResponse): void {
  res.useChunkedEncodingByDefault = false;
  res.shouldKeepAlive = false;
}

import type { ClientRequest, IncomingMessage } from "node:http";
import { EXCHANGE } from "./constants.ts";

/**
 * Reads the rest of a refusal, so that its connection can be used again; closes the
 * connection if that does not end soon.
 */
export function drainRefusal(
  response: IncomingMessage,
  request: ClientRequest,
): void {
  let length = 0;
  const timer = setTimeout(
    () => request.destroy(),
    EXCHANGE.REFUSAL_TIMEOUT_MS,
  );
  response.once("close", () => clearTimeout(timer));
  // It has been decided what becomes of the request.
  response.on("error", () => undefined);
  response.on("data", (chunk: Buffer) => {
    length += chunk.length;
    if (length > EXCHANGE.MAX_REFUSAL_BYTES) {
      request.destroy();
    }
  });
}

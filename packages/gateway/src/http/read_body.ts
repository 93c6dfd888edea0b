import type { IncomingMessage } from "node:http";
import getRawBody from "raw-body";

/** A caller's request body, or the reason why it could not be read. */
export type BodyRead =
  | { readonly kind: "read"; readonly bytes: Buffer }
  | { readonly kind: "too-large" }
  /** The caller disconnected before the body was complete. */
  | { readonly kind: "aborted" };

/** Reads a request body of at most `maxBytes`. */
export async function readBody(
  req: IncomingMessage,
  maxBytes: number,
): Promise<BodyRead> {
  try {
    return { kind: "read", bytes: await getRawBody(req, { limit: maxBytes }) };
  } catch (error) {
    const isTooLarge =
      error instanceof Error && "type" in error
        ? error.type === "entity.too.large"
        : false;
    // The rest is dropped, so that the next request on the connection is read.
    req.resume();
    return { kind: isTooLarge ? "too-large" : "aborted" };
  }
}

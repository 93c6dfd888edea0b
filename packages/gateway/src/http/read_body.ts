import type { IncomingMessage } from "node:http";
import getRawBody from "raw-body";

/** A caller's body, or why there is none. */
export type BodyRead =
  | { readonly kind: "read"; readonly bytes: Buffer }
  | { readonly kind: "too-large" }
  /** The caller left before it was whole. */
  | { readonly kind: "aborted" };

/** Reads a body of at most `maxBytes`. */
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
    return { kind: isTooLarge ? "too-large" : "aborted" };
  }
}

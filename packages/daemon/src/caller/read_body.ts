import type { IncomingMessage } from "node:http";
import getRawBody from "raw-body";
import { HttpRefusal } from "./http_refusal.ts";

/** Reads a request body; throws a refusal if it exceeds `limitBytes`. */
export async function readBody(
  req: IncomingMessage,
  limitBytes: number,
): Promise<Buffer> {
  try {
    return await getRawBody(req, { limit: limitBytes });
  } catch (error) {
    const { type } = error as { type?: string };
    if (type === "entity.too.large") {
      throw new HttpRefusal(413, `the body exceeds ${limitBytes} bytes`, {
        code: "body_too_large",
      });
    }
    throw new HttpRefusal(400, "the body could not be read", {
      code: "broken_body",
      step: "parse",
    });
  }
}

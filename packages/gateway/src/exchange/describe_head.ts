import type { IncomingMessage } from "node:http";
import type { BodyEnd } from "@gooseberryline/core";
import type { ExchangeHead } from "./types.ts";

/** Describes the head of an upstream's answer, whose body ends by `bodyEnd`. */
export function describeHead(
  response: IncomingMessage,
  status: number,
  bodyEnd: BodyEnd,
): ExchangeHead {
  const { headers, rawHeaders } = response;
  const type = headers["content-type"] ?? "";
  const isEventStream = type.startsWith("text/event-stream");
  const isUnframed =
    bodyEnd === "none" && headers["content-length"] === undefined;
  const isCloseDelimited = bodyEnd === "connection" || isUnframed;
  return { status, headers, rawHeaders, isEventStream, isCloseDelimited };
}

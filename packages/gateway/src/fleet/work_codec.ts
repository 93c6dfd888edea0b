import type { WorkMessage } from "@gooseberryline/core";
import { z } from "zod";
import { decodeJson } from "../decode_json.ts";
import { IN_FLIGHT_SCHEMA } from "./in_flight_schema.ts";

const SCHEMA = z.object({
  kind: z.literal("work"),
  from: z.string(),
  incarnation: z.string(),
  sequence: z.number(),
  open: IN_FLIGHT_SCHEMA,
});

/** How each encoded message begins; no load message does. */
const START = Buffer.from('{"kind":"work",');

/** Encodes and decodes the messages between load messages, JSON datagrams. */
export const workCodec = {
  encode: ({ kind, ...rest }: WorkMessage): Buffer =>
    Buffer.from(JSON.stringify({ kind, ...rest })),
  /** Returns undefined for other bytes, without parsing load messages. */
  decode: (bytes: Buffer): WorkMessage | undefined =>
    bytes.subarray(0, START.length).equals(START)
      ? decodeJson(SCHEMA, bytes)
      : undefined,
} as const;

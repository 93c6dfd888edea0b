import type { MetadataCommit, ReadOptions } from "@gooseberryline/core";
import { z } from "zod";

/** A store call that a peer makes on behalf of another instance. */
export type RelayCall =
  | {
      readonly kind: "read";
      readonly key: string;
      readonly options?: ReadOptions | undefined;
    }
  | {
      readonly kind: "list";
      readonly prefix: string;
      readonly after?: string | undefined;
      readonly options?: ReadOptions | undefined;
    }
  | {
      readonly kind: "watch";
      readonly prefix: string;
      readonly after: number;
      readonly waitMs: number;
    }
  /** Waits at the peer's own watch, and not at the store. */
  | {
      readonly kind: "follow";
      readonly prefix: string;
      readonly after: number;
      readonly waitMs: number;
    }
  | { readonly kind: "commit"; readonly commit: MetadataCommit }
  | { readonly kind: "grant-lease"; readonly ttlMs: number }
  | { readonly kind: "keep-lease"; readonly leaseId: string }
  | { readonly kind: "end-lease"; readonly leaseId: string };

const BYTES = z.instanceof(Buffer);

const OPTIONS = z.object({ mayBeStale: z.boolean() }).optional();

const CALL: z.ZodType<RelayCall> = z.discriminatedUnion("kind", [
  z.object({
    kind: z.literal("read"),
    key: z.string(),
    options: OPTIONS,
  }),
  z.object({
    kind: z.literal("list"),
    prefix: z.string(),
    after: z.string().optional(),
    options: OPTIONS,
  }),
  z.object({
    kind: z.literal("watch"),
    prefix: z.string(),
    after: z.number(),
    waitMs: z.number(),
  }),
  z.object({
    kind: z.literal("follow"),
    prefix: z.string(),
    after: z.number(),
    waitMs: z.number(),
  }),
  z.object({
    kind: z.literal("commit"),
    commit: z.object({
      expect: z.array(z.object({ key: z.string(), revision: z.number() })),
      set: z.array(
        z.object({
          key: z.string(),
          value: BYTES,
          leaseId: z.string().exactOptional(),
        }),
      ),
      remove: z.array(z.string()),
    }),
  }),
  z.object({ kind: z.literal("grant-lease"), ttlMs: z.number() }),
  z.object({ kind: z.literal("keep-lease"), leaseId: z.string() }),
  z.object({ kind: z.literal("end-lease"), leaseId: z.string() }),
]);

/** Encoding of bytes within JSON. */
const BASE64_BYTES = z.strictObject({ base64: z.string() });

/** Encodes relay calls and answers as JSON, with bytes as base64. */
export const relayCodec = {
  encode: (value: unknown): string =>
    JSON.stringify(value, function encodeBytes(this: unknown, key, plain) {
      // `plain` is the result of the buffer's own toJSON.
      const raw = (this as Record<string, unknown>)[key];
      return Buffer.isBuffer(raw) ? { base64: raw.toString("base64") } : plain;
    }),
  /** Decodes an encoded value; throws for invalid JSON. */
  decode: (text: string): unknown =>
    JSON.parse(text, (_, value) => {
      const parsed = BASE64_BYTES.safeParse(value);
      return parsed.success ? Buffer.from(parsed.data.base64, "base64") : value;
    }),
  parseCall: (value: unknown): RelayCall | undefined =>
    CALL.safeParse(value).data,
} as const;

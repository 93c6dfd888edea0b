import { CRASHES } from "@gooseberryline/core";
import { z } from "zod";
import { CRASH_BLOCK_SCHEMA } from "./crash_block_schema.ts";

const SUSPECT = z.object({
  request: z.string().default(""),
  parts: z.array(z.string()),
  customer: z.string(),
  hasHead: z.boolean(),
  hasBegun: z.boolean().default(false),
  // Earlier builds leave it out: what they saw starts a chain, and goes on with none.
  ranMs: z.number().optional(),
});
const REPORT = z.object({
  upstreamId: z.string(),
  ageMs: z.number(),
  suspects: z.array(SUSPECT).max(CRASHES.MAX_SUSPECTS),
  // Earlier builds leave these out: what they saw has no witness.
  downAt: z.array(z.string()).default([]),
  reachedAt: z.array(z.string()).default([]),
  reachedAgeMs: z.number().optional(),
});

/** What a peer tells about crashes with its load. */
export const CRASH_NEWS_SCHEMA = z.object({
  crashes: z.array(REPORT).max(CRASHES.MAX_EVIDENCE),
  soundAges: z.record(z.string(), z.number()),
  blocks: z.array(z.unknown()).transform((): readonly never[] => []),
  inForce: z.array(CRASH_BLOCK_SCHEMA).max(CRASHES.MAX_BLOCKS).default([]),
});

import { z } from "zod";
import type { GroupRecord } from "./types.ts";

const PART = z.number().min(0).max(1);
const ENTRY = z.object({ number: z.number(), rate: PART, burst: PART });
const RECORD = z.object({
  writer: z.string(),
  count: z.number(),
  limits: z.record(z.string(), z.record(z.string(), ENTRY)),
});

/** Parses a group's record; returns undefined if its shape is invalid. */
export function parseGroup(value: string): GroupRecord | undefined {
  const parsed = RECORD.safeParse(JSON.parse(value));
  return parsed.success ? parsed.data : undefined;
}

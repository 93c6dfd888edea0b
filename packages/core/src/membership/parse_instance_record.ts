import { z } from "zod";
import type { InstanceRecord } from "./types.ts";

const RECORD = z.object({
  incarnation: z.string(),
  dataCentre: z.string(),
  state: z.enum(["live", "retired"]),
});

/** Parses an instance record. Returns undefined if its shape is invalid. */
export function parseInstanceRecord(value: string): InstanceRecord | undefined {
  const parsed = RECORD.safeParse(JSON.parse(value));
  return parsed.success ? parsed.data : undefined;
}

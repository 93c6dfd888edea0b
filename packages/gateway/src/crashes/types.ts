import type { CrashBlock } from "@gooseberryline/core";
import type { EvidenceFields } from "./crash_evidence.ts";

/** How a block became known. */
export type BlockSource = "evidence" | "peer" | "store";

/** Tells of a block that is new, and what it rests on. */
export type OnBlock = (
  block: CrashBlock,
  source: BlockSource,
  evidence: EvidenceFields,
) => void;

/** Why a block no longer holds. */
export type LiftReason = "record removed" | "upstreams reached" | "time over";

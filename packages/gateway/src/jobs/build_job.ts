import {
  type BatchItem,
  type BatchJob,
  backlogKeys,
  batchKeys,
  type FleetMember,
  type MetadataCommit,
  type Route,
  rankByRendezvous,
  splitChunks,
} from "@gooseberryline/core";
import { batchRecords } from "./batch_records.ts";
import { countTokens } from "./count_tokens.ts";

type JobParts = {
  readonly id: string;
  readonly customer: string;
  readonly route: Route;
  /** Revision of the configuration that has the route. */
  readonly configRevision: number;
  readonly items: readonly BatchItem[];
  readonly submittedAtMs: number;
  readonly workers: readonly FleetMember[];
  readonly writer: string;
};

/** Builds a new job and the single commit that accepts it. */
export function buildJob(parts: JobParts): {
  readonly job: BatchJob;
  readonly commit: MetadataCommit;
} {
  const { id, route, items, submittedAtMs } = parts;
  const chunks = splitChunks(items);
  const job: BatchJob = {
    id,
    customer: parts.customer,
    host: route.host,
    prefix: route.prefix,
    configRevision: parts.configRevision,
    submittedAtMs,
    dueMs: route.dueMs,
    retentionMs: route.retentionMs,
    maxAttempts: route.maxAttempts,
    itemIds: items.map((item) => item.id),
    chunkStarts: chunks.map((_, index) =>
      chunks.slice(0, index).reduce((sum, chunk) => sum + chunk.length, 0),
    ),
  };
  const claim = {
    ...chooseOwner(id, parts.workers),
    dueAtMs: submittedAtMs + route.dueMs,
  };
  const progress = { listed: [], writer: parts.writer };
  const backlog = { tokens: countTokens(items) };
  const set = [
    { key: batchKeys.job(id), value: batchRecords.encode(job) },
    { key: batchKeys.claim(id), value: batchRecords.encode(claim) },
    { key: batchKeys.progress(id), value: batchRecords.encode(progress) },
    {
      key: backlogKeys.openJob(job, id),
      value: batchRecords.encode(backlog),
    },
    ...chunks.map((chunk, index) => ({
      key: batchKeys.chunk(id, index),
      value: batchRecords.encodeChunk(chunk),
    })),
  ];
  const expect = [{ key: batchKeys.job(id), revision: 0 }];
  return { job, commit: { expect, set, remove: [] } };
}

/**
 * Chooses an initial owner, so that no runner has to claim the job first. The
 * owner is empty where no runner is listed.
 */
function chooseOwner(jobId: string, runners: readonly FleetMember[]) {
  const [best] = rankByRendezvous(
    jobId,
    runners.map(({ id }) => id),
  );
  const owner = runners.find(({ id }) => id === best);
  return {
    owner: owner?.id ?? "",
    incarnation: owner?.incarnation ?? "",
  };
}

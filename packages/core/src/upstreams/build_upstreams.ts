import type { ConfigDocument } from "../config/types.ts";
import type { DataCentreId, ServiceName, UpstreamId } from "../ids/types.ts";
import type { Table } from "../shared/types.ts";
import type { DurationStats, Upstream } from "./types.ts";

const NO_SAMPLES: DurationStats = { meanMs: 0, deviationMs: 0, count: 0 };

const INITIAL = {
  allowance: 0,
  allowanceUntilMs: 0,
  grantTerm: "",
  grantNumber: 0,
  knownAllowance: 0,
  isAckDue: false,
  inFlight: 0,
  batchInFlight: 0,
  batchRuns: [],
  bootId: undefined,
  successCount: 0,
  coldCount: 0,
  errorStreak: 0,
  errorCount: 0,
  lastErrorMs: -1,
  slowStreak: 0,
  lastAnswerMs: -1,
  silentSinceMs: undefined,
  suspectUntilMs: 0,
  firstToken: NO_SAMPLES,
  run: NO_SAMPLES,
} as const;

/**
 * Builds the upstream table of a document. Upstreams that already exist keep
 * their state.
 */
export function buildUpstreams(
  before: Table<Upstream>,
  document: ConfigDocument,
): Table<Upstream> {
  return Object.fromEntries(
    Object.entries(document.upstreams).map(([id, config]) => {
      const upstream: Upstream = {
        ...(before[id] ?? INITIAL),
        upstreamId: id as UpstreamId,
        service: config.service as ServiceName,
        dataCentre: config.dataCentre as DataCentreId,
        maxConcurrency: config.maxConcurrency,
        isLeaving: document.dataCentres[config.dataCentre]?.state === "out",
      };
      return [id, upstream];
    }),
  );
}

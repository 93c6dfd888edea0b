import {
  CRASHES,
  type CrashSuspect,
  type EventLog,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { RequestKey } from "../crashes/request_key.ts";
import { checkPort } from "../exchange/check_port.ts";
import type { FleetView } from "../fleet/fleet_view.ts";

/** An attempt whose connection broke. */
export type BrokenAttempt = {
  readonly upstream: UpstreamEntry;
  /** Undefined for an item of a job. */
  readonly key: RequestKey | undefined;
  readonly promptParts: readonly string[];
  readonly customer: string | undefined;
  readonly requestId: string | undefined;
  /** Whether the head of the answer had arrived, but no event. */
  readonly hasHead: boolean;
  readonly hasBegun: boolean;
  /** Time since its start, in ms. */
  readonly ranMs: number;
  readonly reason: string;
};

/**
 * Finds out whether the upstream of a connection that broke is down, so that the
 * request or one beside it may have crashed it. Returns whether this one is likely
 * to have.
 */
export async function checkBrokenAttempt(
  attempt: BrokenAttempt,
  { view, log }: { readonly view: FleetView; readonly log: EventLog },
): Promise<boolean> {
  const { upstream, key, promptParts, hasHead, hasBegun, ranMs } = attempt;
  const brokeMs = view.readNowMs();
  // An item never crashes upstreams by itself.
  const suspects = key === undefined ? [] : [describeSuspect(attempt, key)];
  const port = await checkPort(upstream.address);
  log.info("upstream-broke-off", {
    requestId: attempt.requestId,
    requestKey: key?.full,
    upstream: upstream.id,
    promptParts: promptParts.join(" "),
    hasHead,
    hasBegun,
    ranMs: Math.round(ranMs),
    port,
    reason: attempt.reason,
  });
  // An instance that reaches no upstream can't tell which of them are down.
  if (port !== "refused" || view.reach.isConfirmed) {
    return false;
  }
  view.crashes.recordDown(upstream.id, brokeMs, suspects);
  if (key === undefined) {
    return false;
  }
  const isLikelyCause =
    hasHead ||
    view.crashes.countCrashesUnder(key) >= CRASHES.CRASHES_WITHOUT_RETRY;
  return (
    isLikelyCause &&
    (await view.crashes.awaitVerdict(upstream.id)) !== "reached"
  );
}

function describeSuspect(
  { promptParts, customer = "", hasHead, hasBegun, ranMs }: BrokenAttempt,
  key: RequestKey,
): CrashSuspect {
  const parts = hasBegun ? [] : promptParts;
  return { request: key.full, parts, customer, hasHead, hasBegun, ranMs };
}

import { groupBy } from "@gooseberryline/core";
import type {
  EngineRun,
  RequestRecord,
  WorldLedger,
} from "@gooseberryline/fakes";

/** A violation of a guarantee, as recorded in the ledger. */
export type LedgerFault = {
  readonly guarantee: string;
  readonly detail: string;
};

/**
 * Checks what callers and engines observed, independently of the core's own
 * invariants.
 */
export function checkLedger(ledger: WorldLedger): readonly LedgerFault[] {
  const runsOf = groupBy(ledger.runs, ({ workId }) => workId);
  const callsWithRuns = ledger.calls.map((call) => ({
    call,
    runs: runsOf.get(call.order.workId) ?? [],
  }));
  return [
    ...callsWithRuns.flatMap(findUnendedCall),
    ...callsWithRuns.flatMap(findRepeatedRun),
    ...callsWithRuns.flatMap(findFalseNotRun),
    ...callsWithRuns.flatMap(findIncompleteAnswer),
  ];
}

type CallWithRuns = {
  readonly call: RequestRecord;
  readonly runs: readonly EngineRun[];
};

function findUnendedCall({ call }: CallWithRuns): readonly LedgerFault[] {
  return call.end === undefined
    ? [{ guarantee: "every request ends", detail: call.order.workId }]
    : [];
}

function findRepeatedRun({ call, runs }: CallWithRuns): readonly LedgerFault[] {
  const { workId, isIdempotent } = call.order;
  const detail = `${workId} ran ${runs.length} times`;
  return !isIdempotent && runs.length > 1
    ? [{ guarantee: "non-idempotent-runs-once", detail }]
    : [];
}

function findFalseNotRun({ call, runs }: CallWithRuns): readonly LedgerFault[] {
  const isNotRun =
    call.end?.kind === "refused" && call.end.refusal.run === "not run";
  const detail = `${call.order.workId} ran at ${runs[0]?.upstreamId}`;
  return isNotRun && runs.length > 0
    ? [{ guarantee: "not-run-is-true", detail }]
    : [];
}

function findIncompleteAnswer({
  call,
  runs,
}: CallWithRuns): readonly LedgerFault[] {
  const isIncomplete =
    call.end?.kind === "answered" && !runs.some(({ isComplete }) => isComplete);
  return isIncomplete
    ? [{ guarantee: "whole-answer-to-own-request", detail: call.order.workId }]
    : [];
}

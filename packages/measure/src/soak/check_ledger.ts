import { groupBy } from "@gooseberryline/core";
import type { CallerView, EngineRun, WorldLedger } from "@gooseberryline/fakes";

/** A promise that the ledger shows broken. */
export type LedgerFault = {
  readonly promise: string;
  readonly detail: string;
};

/** Checks, from outside the program, what callers and engines saw. */
export function checkLedger(ledger: WorldLedger): readonly LedgerFault[] {
  const runsOf = groupBy(ledger.runs, ({ workId }) => workId);
  const views = ledger.calls.map((call) => ({
    call,
    runs: runsOf.get(call.order.workId) ?? [],
  }));
  return [
    ...views.flatMap(findOpenEnd),
    ...views.flatMap(findSecondRun),
    ...views.flatMap(findFalseNotRun),
    ...views.flatMap(findEmptyAnswer),
  ];
}

type View = { readonly call: CallerView; readonly runs: readonly EngineRun[] };

function findOpenEnd({ call }: View): readonly LedgerFault[] {
  return call.end === undefined
    ? [{ promise: "every request ends", detail: call.order.workId }]
    : [];
}

function findSecondRun({ call, runs }: View): readonly LedgerFault[] {
  const { workId, isIdempotent } = call.order;
  const detail = `${workId} ran ${runs.length} times`;
  return !isIdempotent && runs.length > 1
    ? [{ promise: "non-idempotent-runs-once", detail }]
    : [];
}

function findFalseNotRun({ call, runs }: View): readonly LedgerFault[] {
  const isNotRun =
    call.end?.kind === "refused" && call.end.refusal.run === "not run";
  const detail = `${call.order.workId} ran at ${runs[0]?.upstreamId}`;
  return isNotRun && runs.length > 0
    ? [{ promise: "not-run-is-true", detail }]
    : [];
}

function findEmptyAnswer({ call, runs }: View): readonly LedgerFault[] {
  const isEmpty =
    call.end?.kind === "answered" && !runs.some(({ isWhole }) => isWhole);
  return isEmpty
    ? [{ promise: "whole-answer-to-own-request", detail: call.order.workId }]
    : [];
}

import { type CustomerConfig, groupBy } from "@gooseberryline/core";
import type { CallerView, EngineRun } from "@gooseberryline/fakes";
import type { LedgerFault } from "./check_ledger.ts";

const MS_PER_SECOND = 1_000;
/** Room for rounding in sums of fractions of tokens. */
const ROUNDING = 1e-6;

/** When an admission surely happened: between arrival and first run. */
type Span = { readonly fromMs: number; readonly toMs: number };

/** Checks every window of a customer's admissions against its limit. */
export function checkRates(
  calls: readonly CallerView[],
  runs: readonly EngineRun[],
  limits: Readonly<Record<string, Pick<CustomerConfig, "rate" | "burst">>>,
): readonly LedgerFault[] {
  const runsOf = groupBy(runs, ({ workId }) => workId);
  const groups = groupBy(calls, ({ order }) => order.customer);
  return [...groups.entries()].flatMap(([customer, own]) => {
    const limit = limits[customer];
    const spans = own.flatMap((call) => {
      const [first] = runsOf.get(call.order.workId) ?? [];
      return first === undefined
        ? []
        : [{ fromMs: call.arrivedMs, toMs: first.startedMs }];
    });
    const over = limit === undefined ? undefined : findWindow(spans, limit);
    return over === undefined
      ? []
      : [{ promise: "within-rate-and-burst", detail: `${customer}: ${over}` }];
  });
}

/** The first window that surely holds too many admissions. */
function findWindow(
  spans: readonly Span[],
  { rate, burst }: Pick<CustomerConfig, "rate" | "burst">,
): string | undefined {
  const byEnd = spans.toSorted((a, b) => a.toMs - b.toMs);
  const windows = spans.flatMap(({ fromMs }) =>
    byEnd
      .filter((span) => span.fromMs >= fromMs)
      .map(({ toMs }, at) => ({ fromMs, toMs, admitted: at + 1 })),
  );
  const over = windows.find(({ fromMs, toMs, admitted }) => {
    const seconds = (toMs - fromMs) / MS_PER_SECOND;
    return admitted > rate * seconds + burst + ROUNDING;
  });
  return over === undefined
    ? undefined
    : `${over.admitted} from ${over.fromMs} to ${over.toMs} ms`;
}

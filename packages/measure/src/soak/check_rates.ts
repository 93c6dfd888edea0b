import { type CustomerConfig, groupBy } from "@gooseberryline/core";
import type { EngineRun, RequestRecord } from "@gooseberryline/fakes";
import type { LedgerFault } from "./check_ledger.ts";

const MS_PER_SECOND = 1_000;
/** Tolerance for rounding errors in sums of fractional tokens. */
const ROUNDING_TOLERANCE_TOKENS = 1e-6;

/** Interval that contains an admission: from arrival to first run's start. */
type AdmissionInterval = { readonly fromMs: number; readonly toMs: number };

/** Checks each customer's admissions against its limit over every window. */
export function checkRates(
  calls: readonly RequestRecord[],
  runs: readonly EngineRun[],
  limits: Readonly<Record<string, Pick<CustomerConfig, "rate" | "burst">>>,
): readonly LedgerFault[] {
  const runsOf = groupBy(runs, ({ workId }) => workId);
  const callsByCustomer = groupBy(calls, ({ order }) => order.customer);
  return [...callsByCustomer.entries()].flatMap(([customer, customerCalls]) => {
    const limit = limits[customer];
    const intervals = customerCalls.flatMap((call) => {
      const [firstRun] = runsOf.get(call.order.workId) ?? [];
      return firstRun === undefined
        ? []
        : [{ fromMs: call.arrivedMs, toMs: firstRun.startedMs }];
    });
    const over =
      limit === undefined ? undefined : findExceededWindow(intervals, limit);
    return over === undefined
      ? []
      : [
          {
            guarantee: "within-rate-and-burst",
            detail: `${customer}: ${over}`,
          },
        ];
  });
}

/** Finds the first window that contains too many admissions for certain. */
function findExceededWindow(
  spans: readonly AdmissionInterval[],
  { rate, burst }: Pick<CustomerConfig, "rate" | "burst">,
): string | undefined {
  const byEnd = spans.toSorted((a, b) => a.toMs - b.toMs);
  const windows = spans.flatMap(({ fromMs }) =>
    byEnd
      .filter((span) => span.fromMs >= fromMs)
      .map(({ toMs }, index) => ({ fromMs, toMs, admitted: index + 1 })),
  );
  const over = windows.find(({ fromMs, toMs, admitted }) => {
    const seconds = (toMs - fromMs) / MS_PER_SECOND;
    return admitted > rate * seconds + burst + ROUNDING_TOLERANCE_TOKENS;
  });
  return over === undefined
    ? undefined
    : `${over.admitted} from ${over.fromMs} to ${over.toMs} ms`;
}

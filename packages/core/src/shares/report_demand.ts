import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Table } from "../shared/types.ts";
import { buildGroupKey } from "./build_group_key.ts";
import { findShareCoordinator } from "./find_share_coordinator.ts";
import { recordDemand } from "./record_demand.ts";
import { SHARE_TIMES } from "./share_times.ts";
import type { DemandReport } from "./types.ts";

const MS_PER_SECOND = 1000;

/** Reports local arrivals to each group's share coordinator when due. */
export function reportDemand(state: InstanceState, nowMs: number): Step {
  const { shares, limits } = state;
  if (nowMs < shares.nextReportMs) {
    return { state, effects: [] };
  }
  const reportedArrivals = Object.fromEntries(
    Object.entries(limits).map(([customer, { arrived }]) => [
      customer,
      arrived,
    ]),
  );
  const nextReportMs = nowMs + SHARE_TIMES.REPORT_MS;
  const after = {
    ...state,
    shares: { ...shares, reportedArrivals, nextReportMs },
  };
  const reports = buildReports(state);
  return chainAll(
    after,
    Object.entries(reports),
    (current, [group, demand]) => {
      const message: DemandReport = {
        kind: "demand-reported",
        group,
        demand,
      };
      const to = findShareCoordinator(current, group, nowMs);
      return to === current.self.instanceId
        ? recordDemand(current, to, message)
        : { state: current, effects: [{ kind: "send-peer", to, message }] };
    },
  );
}

function buildReports({ shares, limits }: InstanceState): Table<Table<number>> {
  const seconds = SHARE_TIMES.REPORT_MS / MS_PER_SECOND;
  const rates = Object.entries(limits).map(([customer, { arrived }]) => ({
    customer,
    group: buildGroupKey(customer),
    perSecond: (arrived - (shares.reportedArrivals[customer] ?? 0)) / seconds,
  }));
  return rates.reduce<Table<Table<number>>>(
    (reports, { customer, group, perSecond }) => {
      const report = reports[group] ?? {};
      const updated =
        perSecond > 0 ? setEntry(report, customer, perSecond) : report;
      return setEntry(reports, group, updated);
    },
    {},
  );
}

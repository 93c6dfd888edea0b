import type { BurnRow, InstanceState, RunRecord } from "@gooseberryline/core";
import type { JobView } from "../jobs/types.ts";
import { describeStatus } from "./describe_status.ts";
import type { Gathered, Reports, RunQuery } from "./types.ts";

/** Local data sources of an instance's reports. */
export type ReportSources = {
  readonly readState: () => InstanceState;
  readonly listRuns: (query: RunQuery) => Promise<readonly RunRecord[]>;
  readonly listJobs: () => Promise<readonly JobView[]>;
  readonly buildBurn: () => readonly BurnRow[];
};

/** Creates reports that cover only this instance. */
export function createLocalReports(sources: ReportSources): Reports {
  const gather = <Body>(body: Body): Promise<Gathered<Body>> => {
    const { instanceId } = sources.readState().self;
    return Promise.resolve({ answers: [{ instanceId, body }], missing: [] });
  };
  return {
    gatherStatus: () => gather(describeStatus(sources.readState(), Date.now())),
    gatherRuns: async (query) => gather(await sources.listRuns(query)),
    gatherJobs: async () => gather(await sources.listJobs()),
    gatherBurn: () => gather(sources.buildBurn()),
  };
}

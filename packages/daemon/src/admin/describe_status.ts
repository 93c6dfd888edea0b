import {
  INVARIANTS,
  type InstanceState,
  listSharded,
} from "@gooseberryline/core";
import type { StatusView } from "./types.ts";

/** Builds the status view of an instance for operators. */
export function describeStatus(
  state: InstanceState,
  nowMs: number,
): StatusView {
  const works = listSharded(state.works);
  return {
    instanceId: state.self.instanceId,
    dataCentre: state.self.dataCentre,
    incarnation: state.self.incarnation,
    revision: state.config?.revision ?? 0,
    isStopping: state.isStopping,
    inFlight: works.filter(({ attempt }) => attempt !== undefined).length,
    queued: works.filter(({ attempt }) => attempt === undefined).length,
    jobs: Object.keys(state.jobs.known).length,
    members: Object.values(state.membership.members).map((member) => ({
      instanceId: member.instanceId,
      dataCentre: member.dataCentre,
      revision: member.revision,
      heardAgoMs: member.lastSeenMs === 0 ? null : nowMs - member.lastSeenMs,
    })),
    upstreams: Object.values(state.upstreams).map((upstream) => ({
      upstreamId: upstream.upstreamId,
      dataCentre: upstream.dataCentre,
      service: upstream.service,
      inFlight: upstream.inFlight,
      allowance: upstream.allowance,
      isLeaving: upstream.isLeaving,
    })),
    invariantsBroken: { ...INVARIANTS.broken },
  };
}

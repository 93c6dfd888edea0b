import {
  type Candidate,
  listCandidatesOfOrigin,
  type Placement,
  placeRequest,
  type StreamOrigin,
} from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import { REQUESTS } from "./constants.ts";
import type { AdmittedCall } from "./types.ts";

/** What of a call decides where it goes. */
type PlacedCall = Pick<AdmittedCall, "service" | "path" | "receivedMs"> & {
  readonly head: Pick<AdmittedCall["head"], "affinityKey" | "requestId">;
  readonly route: Pick<AdmittedCall["route"], "objectiveMs" | "name">;
};

type UpstreamChoice = {
  /** Ids of the upstreams at which the request has failed. */
  readonly tried: ReadonlySet<string>;
  /** Time until the request's deadline, in ms. */
  readonly leftMs: number;
  /** What began the stream; undefined unless it has begun. */
  readonly origin: StreamOrigin | undefined;
  /** Whether this is only asked, so that nothing may change. */
  readonly isAsked?: boolean;
};

/**
 * Chooses the upstream of a request by the load and health that this instance
 * knows of.
 */
export function chooseUpstream(
  view: FleetView,
  call: PlacedCall,
  { tried, leftMs, origin, isAsked }: UpstreamChoice,
): Placement {
  const { service, head, path, receivedMs, route } = call;
  const candidates = view.listCandidates(service, "online");
  const groups = view.rollouts.listForRequest({
    service,
    route: route.name,
    isRetry: tried.size > 0,
    origin,
    candidates,
  });
  const nowMs = view.readNowMs();
  const affinityKey = head.affinityKey ?? head.requestId ?? path;
  // The plan is that of all requests, whichever versions this one may go to.
  const leaving = view.leaving.decide(
    { service, affinityKey, candidates },
    isAsked,
  );
  const place = (group: readonly Candidate[]): Placement => {
    const request = {
      candidates: listCandidatesOfOrigin(group, origin),
      tried,
      ownDataCentre: view.settings.dataCentre,
      affinityKey,
      leaving,
      meanServiceMs: view.load.getMeanServiceTimeMs(service),
      objectiveLeftMs: receivedMs + route.objectiveMs - nowMs,
      maxWaitMs: Math.min(REQUESTS.MAX_QUEUE_WAIT_MS, leftMs),
      nowMs,
    };
    const placement = placeRequest(request);
    // If no untried upstream accepts the request, retry one that failed before.
    return placement.kind !== "placed" && tried.size > 0
      ? placeRequest({ ...request, tried: new Set() })
      : placement;
  };
  return groups.reduce<Placement>(
    (found, group) => (found.kind === "placed" ? found : place(group)),
    { kind: "none" },
  );
}

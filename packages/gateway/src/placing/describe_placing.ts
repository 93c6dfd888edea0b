import {
  assertNever,
  chooseService,
  findRoute,
  type PlaceExplanation,
  type Placement,
  type PlaceOutcome,
  type Route,
} from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import { ItemPlacer } from "../jobs/item_placer.ts";
import { chooseUpstream } from "../requests/choose_upstream.ts";
import { computeTimeLimitMs } from "../requests/compute_time_limit_ms.ts";
import { REQUESTS } from "../requests/constants.ts";
import { drawRetryAfterMs } from "../requests/draw_retry_after_ms.ts";
import { describeCandidate } from "./describe_candidate.ts";
import type { PlaceQuestion } from "./types.ts";

const NOT_FOUND = 404;
const UNAVAILABLE = 503;
/** An item of the least tokens that begins anew and can't wait. */
const ITEM = { canWait: false, length: 1 };

/**
 * Describes where a request or an item would go now, by the code that places them.
 * Nothing is sent or taken. The customer's rate is not checked.
 */
export function describePlacing(
  view: FleetView,
  question: PlaceQuestion,
): PlaceExplanation {
  const { instanceId, dataCentre } = view.settings;
  const { host, path, requestId } = question;
  const table = view.table;
  const route = table && findRoute(table, host, path);
  const service = route && chooseService(route, requestId);
  const known = {
    instance: instanceId,
    dataCentre,
    route: route?.name,
    service,
    home: undefined,
    costMs: undefined,
    candidates: [],
  };
  if (table === undefined) {
    const reason = "this instance has no configuration yet";
    return { ...known, outcome: refuse(UNAVAILABLE, "unready", reason) };
  }
  if (route === undefined || service === undefined) {
    const reason = "no route leads to a service for this host and path";
    return { ...known, outcome: refuse(NOT_FOUND, "no_route", reason) };
  }
  const isItem = question.kind === "item";
  const candidates = view.listCandidates(service, isItem ? "batch" : "online");
  const affinityKey = question.prompt ?? (requestId || path);
  const asked = { service, affinityKey, candidates };
  return {
    ...known,
    ...(isItem ? {} : view.leaving.decide(asked, true)),
    outcome: isItem
      ? placeItemAsked(view, service, question)
      : placeAsked(view, { question, route, service, affinityKey }),
    candidates: candidates.map((one) => describeCandidate(view, one)),
  };
}

type AskedRequest = {
  readonly question: PlaceQuestion;
  readonly route: Route;
  readonly service: string;
  readonly affinityKey: string;
};

function placeAsked(
  view: FleetView,
  { question, route, service, affinityKey }: AskedRequest,
): PlaceOutcome {
  const { path, requestId, deadlineMs } = question;
  const receivedMs = view.readNowMs();
  const head = { affinityKey, requestId };
  const leftMs = computeTimeLimitMs(route, { deadlineMs });
  const placement = chooseUpstream(
    view,
    { service, path, receivedMs, head, route },
    { tried: new Set(), leftMs, origin: undefined, isAsked: true },
  );
  return describeOutcome(placement);
}

function describeOutcome(placement: Placement): PlaceOutcome {
  switch (placement.kind) {
    case "placed": {
      const { upstream, waitMs } = placement;
      return { kind: "placed", upstream: upstream.id, waitMs };
    }
    case "full":
      return refuse(
        UNAVAILABLE,
        "no_room",
        "every upstream is full",
        placement.freeInMs,
      );
    case "none":
      return refuse(
        UNAVAILABLE,
        "no_room",
        "the service has no upstream",
        REQUESTS.NO_UPSTREAM_RETRY_MS,
      );
    default:
      return assertNever(placement);
  }
}

/** The limiter of starts is this question's own, so no start is recorded. */
function placeItemAsked(
  view: FleetView,
  service: string,
  { path, requestId }: PlaceQuestion,
): PlaceOutcome {
  const waiting = {
    jobId: "",
    index: 0,
    dueAtMs: 0,
    ranMs: 0,
    item: { id: requestId, path, headers: {}, body: "", tokens: 1 },
    promptParts: [],
    text: { texts: [], lastEventId: undefined },
    failures: 0,
    tried: new Set<string>(),
    notBeforeMs: 0,
  };
  const placement = new ItemPlacer(view).place(waiting, service, ITEM);
  return placement.kind === "placed"
    ? { kind: "placed", upstream: placement.upstream.id, waitMs: 0 }
    : { kind: "waits" };
}

function refuse(
  status: number,
  code: string,
  reason: string,
  availableInMs?: number,
): PlaceOutcome {
  const retryAfterMs =
    availableInMs === undefined
      ? undefined
      : ([
          drawRetryAfterMs(availableInMs, 0),
          drawRetryAfterMs(availableInMs, 1),
        ] as const);
  return { kind: "refused", status, code, reason, retryAfterMs };
}

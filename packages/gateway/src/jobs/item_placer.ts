import {
  type BatchJob,
  type Candidate,
  chooseService,
  findRoute,
  listCandidatesOfOrigin,
  placeItem,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import { StartLimiter } from "./start_limiter.ts";
import type { ItemText, WaitingItem } from "./types.ts";

/** Outcome of placing an item. */
export type ItemPlacement =
  | {
      readonly kind: "placed";
      readonly upstream: UpstreamEntry;
      /** The text that it goes on from. */
      readonly text: ItemText;
    }
  | { readonly kind: "wait" }
  /** No route matches the item, or its route has no service. */
  | { readonly kind: "no-route" };

const NO_TEXT: ItemText = { texts: [], lastEventId: undefined };

/** Places items on upstream slots that online requests leave free. */
export class ItemPlacer {
  readonly #view: FleetView;
  readonly #startLimiter: StartLimiter;

  constructor(view: FleetView) {
    this.#view = view;
    this.#startLimiter = new StartLimiter(view.settings.instanceId);
  }

  /**
   * Places an item of a job. It waits at an instance whose configuration is older
   * than the one that accepted the job.
   */
  place(
    { item, text, tried }: WaitingItem,
    { host, configRevision }: BatchJob,
  ): ItemPlacement {
    const { table } = this.#view;
    if (table === undefined || table.config.revision < configRevision) {
      this.#view.onConfigBehind();
      return { kind: "wait" };
    }
    const route = findRoute(table, host, item.path);
    const service = route && chooseService(route, item.id);
    if (service === undefined) {
      return { kind: "no-route" };
    }
    const nowMs = this.#view.readNowMs();
    const workers = this.#view.load.listPeersWithWaitingItems(nowMs);
    const listed = this.#view.listCandidates(service, "batch");
    const resumable = listResumable(listed, text);
    const isAnew = resumable.length === 0;
    const candidates = this.#startLimiter.listStartable(
      isAnew ? listed : resumable,
      workers,
      nowMs,
    );
    // An upstream that failed before is better than none.
    const upstream =
      placeItem(candidates, tried, nowMs) ??
      placeItem(candidates, new Set(), nowMs);
    if (upstream === undefined) {
      return { kind: "wait" };
    }
    this.#startLimiter.recordStart(upstream.id, nowMs);
    return { kind: "placed", upstream, text: isAnew ? NO_TEXT : text };
  }
}

/**
 * Lists the upstreams that can go on with a text: those of the version that wrote
 * it. An item begins anew once there is none.
 */
function listResumable(
  listed: readonly Candidate[],
  { origin, lastEventId }: ItemText,
): readonly Candidate[] {
  const hasBegun = lastEventId !== undefined;
  return hasBegun && origin === undefined
    ? []
    : listCandidatesOfOrigin(listed, hasBegun ? origin : undefined);
}

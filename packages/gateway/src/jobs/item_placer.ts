import {
  chooseService,
  findRoute,
  placeItem,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import { StartPace } from "./start_pace.ts";
import type { WaitingItem } from "./types.ts";

/** Where an item may go now. */
export type ItemPlacement =
  | { readonly kind: "placed"; readonly upstream: UpstreamEntry }
  | { readonly kind: "wait" }
  /** No route leads to a service any more. */
  | { readonly kind: "no-route" };

/** Finds upstreams for items in the room that online work leaves. */
export class ItemPlacer {
  readonly #view: FleetView;
  readonly #pace: StartPace;

  constructor(view: FleetView) {
    this.#view = view;
    this.#pace = new StartPace(view.settings.instanceId);
  }

  place({ item, tried }: WaitingItem, host: string): ItemPlacement {
    const { table } = this.#view;
    if (table === undefined) {
      return { kind: "wait" };
    }
    const route = findRoute(table, host, item.path);
    const service = route && chooseService(route, item.id);
    if (service === undefined) {
      return { kind: "no-route" };
    }
    const nowMs = this.#view.readNowMs();
    const workers = this.#view.load.listBusyWorkers(nowMs);
    const listed = this.#view.listCandidates(service);
    const candidates = this.#pace.filter(listed, workers, nowMs);
    // One that failed before is better than none.
    const upstream =
      placeItem(candidates, tried, nowMs) ??
      placeItem(candidates, new Set(), nowMs);
    if (upstream === undefined) {
      return { kind: "wait" };
    }
    this.#pace.note(upstream.id, nowMs);
    return { kind: "placed", upstream };
  }
}

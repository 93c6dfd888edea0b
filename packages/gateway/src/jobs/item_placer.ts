import {
  type BatchItem,
  type BatchJob,
  type Candidate,
  chooseService,
  findRoute,
  listCandidatesOfOrigin,
  placeItem,
  type RouteTable,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import type { ItemUrgency } from "./describe_urgency.ts";
import { StartLimiter } from "./start_limiter.ts";
import type { ItemText, WaitingItem } from "./types.ts";

/** The service that an item belongs to, as far as the configuration tells. */
export type ItemLocation =
  | { readonly kind: "service"; readonly service: string }
  /** The configuration that accepted the job is not known here yet. */
  | { readonly kind: "unknown" }
  /** No route matches the item, or its route has no service. */
  | { readonly kind: "no-route" };

/** Outcome of placing an item. */
export type ItemPlacement =
  | {
      readonly kind: "placed";
      readonly upstream: UpstreamEntry;
      /** The text that it goes on from. */
      readonly text: ItemText;
    }
  | {
      readonly kind: "wait";
      /**
       * The version that alone may go on with the item's text; undefined if the
       * item waits for any upstream of its service.
       */
      readonly version: string | undefined;
    };

type KnownLocation = {
  readonly table: RouteTable;
  readonly location: ItemLocation;
};

const NO_TEXT: ItemText = { texts: [], lastEventId: undefined };

/** Places items on upstream slots that online requests leave free. */
export class ItemPlacer {
  readonly #view: FleetView;
  readonly #startLimiter: StartLimiter;
  /** Found under the present configuration, as rounds are frequent. */
  readonly #locations = new WeakMap<BatchItem, KnownLocation>();

  constructor(view: FleetView) {
    this.#view = view;
    this.#startLimiter = new StartLimiter(view.settings.instanceId);
  }

  /** Finds an item's service. */
  locate(item: BatchItem, { host, configRevision }: BatchJob): ItemLocation {
    const { table } = this.#view;
    if (table === undefined || table.config.revision < configRevision) {
      return { kind: "unknown" };
    }
    const known = this.#locations.get(item);
    if (known?.table === table) {
      return known.location;
    }
    const route = findRoute(table, host, item.path);
    const service = route && chooseService(route, item.id);
    const location: ItemLocation =
      service === undefined
        ? { kind: "no-route" }
        : { kind: "service", service };
    this.#locations.set(item, { table, location });
    return location;
  }

  /** Returns whether an item that can't wait could be placed at a service. */
  hasRoom(service: string): boolean {
    const nowMs = this.#view.readNowMs();
    const candidates = this.#listStartable(
      service,
      this.#listCandidates(service),
      false,
    );
    return placeItem(candidates, new Set(), nowMs) !== undefined;
  }

  /**
   * Places an item on an upstream of its service, a long one rather on a fast one.
   */
  place(
    { text, tried }: WaitingItem,
    service: string,
    { canWait, length }: ItemUrgency,
  ): ItemPlacement {
    const nowMs = this.#view.readNowMs();
    const listed = this.#listCandidates(service);
    const resumable = listResumable(listed, text);
    const isAnew = resumable.length === 0;
    const candidates = this.#listStartable(
      service,
      isAnew ? listed : resumable,
      canWait,
    );
    // An upstream that failed before is better than none.
    const upstream =
      placeItem(candidates, tried, nowMs, length) ??
      placeItem(candidates, new Set(), nowMs, length);
    if (upstream === undefined) {
      const isBound = resumable.length < listed.length;
      const version = isAnew || !isBound ? undefined : text.origin?.version;
      return { kind: "wait", version };
    }
    this.#startLimiter.recordStart(upstream.id, nowMs);
    return { kind: "placed", upstream, text: isAnew ? NO_TEXT : text };
  }

  #listCandidates(service: string): readonly Candidate[] {
    const listed = this.#view.listCandidates(service, "batch");
    return this.#view.rollouts.listForItem(service, listed);
  }

  #listStartable(
    service: string,
    candidates: readonly Candidate[],
    canWait: boolean,
  ): readonly Candidate[] {
    const nowMs = this.#view.readNowMs();
    const { load } = this.#view;
    const workers = load.listPeersWithWaitingItems(service, nowMs);
    return this.#startLimiter.listStartable(
      candidates,
      workers,
      canWait,
      nowMs,
    );
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

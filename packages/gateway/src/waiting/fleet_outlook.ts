import {
  type CustomerDemand,
  countRoom,
  DUTIES,
  type UpstreamRoom,
} from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import { ROOMS } from "./constants.ts";

/** The room at upstreams, and what peers ask for, as far as is known here. */
export type FleetNews = {
  readonly room: UpstreamRoom;
  readonly demand: CustomerDemand;
  readonly silent: number;
  readonly tellers: number;
  readonly ageMs: number;
  /** Number of instances that share the slots. */
  readonly instances: number;
};

/**
 * Sums up what is known of a service over the fleet, once for all that ask in a
 * short while: it walks over all upstreams and peers, and is older than that.
 */
export class FleetOutlook {
  readonly #view: FleetView;
  readonly #service: string;
  #news: FleetNews | undefined;
  #readMs = Number.NEGATIVE_INFINITY;

  constructor(view: FleetView, service: string) {
    this.#view = view;
    this.#service = service;
  }

  read(): FleetNews {
    const nowMs = this.#view.readNowMs();
    if (this.#news === undefined || nowMs - this.#readMs >= ROOMS.OUTLOOK_MS) {
      this.#news = this.#sumUp(nowMs);
      this.#readMs = nowMs;
    }
    return this.#news;
  }

  #sumUp(nowMs: number): FleetNews {
    const { settings, members, demand, load } = this.#view;
    const candidates = this.#view.listCandidates(this.#service, "online");
    const peerIds = members
      .listSpenders(DUTIES.serve, nowMs)
      .filter((id) => id !== settings.instanceId);
    const maxAgeMs = load.getMaxAgeMs();
    return {
      room: countRoom(candidates, nowMs),
      instances: peerIds.length + 1,
      ...demand.sumOthers(this.#service, { peerIds, nowMs, maxAgeMs }),
    };
  }
}

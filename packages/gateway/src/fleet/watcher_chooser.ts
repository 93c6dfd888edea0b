import {
  chooseWatcher,
  countWatchers,
  type Duty,
  type FleetMember,
  listFleetWatchers,
  type WatcherNumbers,
} from "@gooseberryline/core";
import { WATCH_TIMING } from "../store/constants.ts";
import type { WatchRank } from "../store/types.ts";
import { buildOwnMember } from "./build_own_member.ts";
import { computeLoadTimes } from "./compute_load_times.ts";
import type { FleetView } from "./fleet_view.ts";
import { isHeard } from "./is_heard.ts";

type WatcherChooserParts = {
  readonly view: FleetView;
  /** The duty of the instances that watch the prefix; undefined for all. */
  readonly duty: Duty | undefined;
  readonly numbers: WatcherNumbers;
};

/** Chooses which instance of the data centre watches a prefix for this one. */
export class WatcherChooser {
  readonly #parts: WatcherChooserParts;
  /** Since when the watcher does not reach the store, though this instance does. */
  #worseSinceMs: number | undefined;

  constructor(parts: WatcherChooserParts) {
    this.#parts = parts;
  }

  /** Returns undefined if this instance is to watch the store itself. */
  choose(isAvoided: (id: string) => boolean): FleetMember | undefined {
    const { view, duty } = this.#parts;
    const { dataCentre } = view.settings;
    const self = buildOwnMember(view.settings, view.incarnation);
    const peers = view
      .listPeers()
      .filter((peer) => peer.dataCentre === dataCentre)
      .filter((peer) => duty === undefined || peer.duty === duty)
      .filter((peer) => this.isHeard(peer));
    return chooseWatcher(self, {
      peers,
      isAvoided,
      count: this.#count,
      isReaching: (id) =>
        id === self.id ? view.hasStore : this.#isReaching(id),
    });
  }

  /** Returns whether messages of a watcher arrive. */
  isHeard({ id }: FleetMember): boolean {
    return isHeard(this.#parts.view, id);
  }

  /** Returns whether a watcher has not reached the store for long, though this does. */
  isWorse({ id }: FleetMember): boolean {
    const { view } = this.#parts;
    const nowMs = view.readNowMs();
    const isWorse = view.hasStore && !this.#isReaching(id);
    this.#worseSinceMs = isWorse ? (this.#worseSinceMs ?? nowMs) : undefined;
    const sinceMs = this.#worseSinceMs ?? nowMs;
    return nowMs - sinceMs >= WATCH_TIMING.KEEP_SOURCE_MS;
  }

  /** Returns this instance's rank among the watchers, or among all if it is none. */
  getRank(): WatchRank {
    const { view, duty } = this.#parts;
    const { instanceId } = view.settings;
    const watchers = listFleetWatchers(this.#listMembers(), this.#count);
    const rank = watchers.indexOf(instanceId);
    return rank < 0 ? view.getRank(duty) : { rank, count: watchers.length };
  }

  #isReaching(id: string): boolean {
    const { view } = this.#parts;
    return view.load.canReachStore(id, this.#timeoutMs, view.readNowMs());
  }

  /** How many instances of a data centre watch the store. */
  get #count(): number {
    return countWatchers(this.#listMembers(), this.#parts.numbers);
  }

  /** With those whose leases have just lapsed, as all do while the store is away. */
  #listMembers(): readonly FleetMember[] {
    const { view, duty } = this.#parts;
    return view.members
      .listPossiblyRunning(view.readNowMs())
      .filter((member) => duty === undefined || member.duty === duty);
  }

  get #timeoutMs(): number {
    return computeLoadTimes(this.#parts.view.members.count()).peerTimeoutMs;
  }
}

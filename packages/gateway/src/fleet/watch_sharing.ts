import {
  type Duty,
  type EventLog,
  type MetadataStore,
  STORE_WATCHERS,
} from "@gooseberryline/core";
import type { RelayClient } from "../store/relay_client.ts";
import { SharedWatch } from "../store/shared_watch.ts";
import type { WatchRank } from "../store/types.ts";
import { WatchHub } from "../store/watch_hub.ts";
import type { FleetView } from "./fleet_view.ts";
import { WatcherChooser } from "./watcher_chooser.ts";

type WatchSharingParts = {
  readonly view: FleetView;
  readonly store: Pick<MetadataStore, "watchPrefix">;
  readonly relay: Pick<RelayClient, "send">;
  /** Called with whether the store answered a watch of a peer. */
  readonly onContact: (isReached: boolean) => void;
  readonly log: EventLog;
};

type SharedPrefix = {
  readonly watch: SharedWatch;
  readonly getRank: () => WatchRank;
};

/** Shares this instance's watches with the peers of its data centre. */
export class WatchSharing {
  readonly #parts: WatchSharingParts;
  readonly #watches: SharedWatch[] = [];
  /** What the watches have brought, for peers. */
  readonly hub = new WatchHub();

  constructor(parts: WatchSharingParts) {
    this.#parts = parts;
  }

  /** Shares a prefix among the workers that watch claims, or among all instances. */
  share(prefix: string, duty: Duty | undefined): SharedPrefix {
    const { view, store, relay, log } = this.#parts;
    const numbers =
      duty === undefined ? STORE_WATCHERS.FLEET : STORE_WATCHERS.CLAIMS;
    const chooser = new WatcherChooser({ view, duty, numbers });
    const watch = new SharedWatch({
      prefix,
      store,
      relay,
      log,
      memory: this.hub.get(prefix),
      chooseWatcher: (isAvoided) => chooser.choose(isAvoided),
      isHeard: (watcher) => chooser.isHeard(watcher),
      isWorse: (watcher) => chooser.isWorse(watcher),
      onContact: (isReached) => this.#reportContact(isReached),
    });
    this.#watches.push(watch);
    return { watch, getRank: () => chooser.getRank() };
  }

  /** Counts the prefixes that this instance follows at a peer. */
  countFollowed(): number {
    return this.#watches.filter(({ isFollowing }) => isFollowing).length;
  }

  /** A peer's trouble with the store says nothing where the own calls succeed. */
  #reportContact(isReached: boolean): void {
    if (isReached || !this.#parts.view.hasStore) {
      this.#parts.onContact(isReached);
    }
  }
}

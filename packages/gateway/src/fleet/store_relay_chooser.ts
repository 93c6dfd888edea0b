import type { FleetMember } from "@gooseberryline/core";
import type { LoadTracker } from "./load_tracker.ts";

type StoreRelayChooserParts = {
  readonly load: LoadTracker;
  readonly listPeers: () => readonly FleetMember[];
  /** Returns the silence after which a peer counts as unreachable, in ms. */
  readonly getPeerTimeoutMs: () => number;
  readonly readNowMs: () => number;
};

/** Chooses the peers that make store calls for this instance. */
export class StoreRelayChooser {
  readonly #parts: StoreRelayChooserParts;

  constructor(parts: StoreRelayChooserParts) {
    this.#parts = parts;
  }

  /**
   * Chooses a random peer that reaches the store and is in direct contact with
   * this instance; `avoidedId` only if there is no other.
   */
  choose(avoidedId?: string): FleetMember | undefined {
    return drawMember(this.#listReaching(), avoidedId);
  }

  /**
   * Chooses a peer that has seen a change under a prefix after a store revision:
   * the store has just answered it. Otherwise as `choose`.
   */
  chooseInformed(
    prefix: string,
    after: number,
    avoidedId?: string,
  ): FleetMember | undefined {
    const reaching = this.#listReaching();
    const informed = reaching.filter(
      ({ id }) => this.#parts.load.getSeenRevision(id, prefix) > after,
    );
    return drawMember(informed.length > 0 ? informed : reaching, avoidedId);
  }

  /**
   * Counts the peers that reach the store and have seen the same latest change
   * under a prefix.
   */
  countAgreeing(prefix: string, revision: number): number {
    return this.#listReaching().filter(
      ({ id }) => this.#parts.load.getSeenRevision(id, prefix) === revision,
    ).length;
  }

  #listReaching(): readonly FleetMember[] {
    const { load, listPeers, getPeerTimeoutMs, readNowMs } = this.#parts;
    const timeoutMs = getPeerTimeoutMs();
    const nowMs = readNowMs();
    return listPeers().filter(({ id }) =>
      load.canReachStore(id, timeoutMs, nowMs),
    );
  }
}

function drawMember(
  members: readonly FleetMember[],
  avoidedId: string | undefined,
): FleetMember | undefined {
  const others = members.filter(({ id }) => id !== avoidedId);
  const usable = others.length > 0 ? others : members;
  return usable[Math.floor(Math.random() * usable.length)];
}

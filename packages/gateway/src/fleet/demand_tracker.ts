import type {
  CustomerDemand,
  DemandNews,
  LoadMessage,
} from "@gooseberryline/core";

type PeerDemand = {
  /** Undefined from an earlier build. */
  readonly news: DemandNews | undefined;
  readonly receivedMs: number;
};

/** Which peers are counted: those heard of up to `maxAgeMs` ago. */
type DemandScope = {
  readonly peerIds: readonly string[];
  readonly nowMs: number;
  readonly maxAgeMs: number;
};

/** What peers told, summed up. */
type OthersDemand = {
  readonly demand: CustomerDemand;
  /** Peers that are likely to use slots and told nothing of late. */
  readonly silent: number;
  /** Peers that told theirs, and the mean age of what peers told, in ms. */
  readonly tellers: number;
  readonly ageMs: number;
};

/** Tracks the requests that instances hold, by service and customer. */
export class DemandTracker {
  readonly #peers = new Map<string, PeerDemand>();
  /** Returns those of this instance; undefined where none wait at instances. */
  readOwn: () => DemandNews | undefined = () => undefined;

  /** Builds the part of a message to peers. */
  buildNews(): { readonly demand?: DemandNews } {
    const demand = this.readOwn();
    return demand === undefined ? {} : { demand };
  }

  recordPeer(
    { from, demand }: Pick<LoadMessage, "from" | "demand">,
    receivedMs: number,
  ): void {
    this.#peers.set(from, { news: demand, receivedMs });
  }

  /** Sums up what peers told of a service. */
  sumOthers(
    service: string,
    { peerIds, nowMs, maxAgeMs }: DemandScope,
  ): OthersDemand {
    this.#dropOthersThan(peerIds);
    const demand = new Map<string, number>();
    // News of a peer may come before it is known what the peer does.
    const heard = peerIds
      .flatMap((id) => this.#peers.get(id) ?? [])
      .filter(({ receivedMs }) => nowMs - receivedMs <= maxAgeMs);
    heard.forEach(({ news }) => {
      Object.entries(news?.[service] ?? {}).forEach(([name, count]) => {
        demand.set(name, (demand.get(name) ?? 0) + count);
      });
    });
    const tellers = heard.filter(({ news }) => news !== undefined).length;
    const ages = heard.reduce((sum, one) => sum + nowMs - one.receivedMs, 0);
    const ageMs = ages / Math.max(1, heard.length);
    const unheard = peerIds.length - heard.length;
    // Few silent peers are gone; if most are silent, this instance is cut off.
    const kept = unheard * 2 > peerIds.length ? unheard : 0;
    return { demand, silent: heard.length - tellers + kept, tellers, ageMs };
  }

  /** Forgets instances that have gone. */
  #dropOthersThan(peerIds: readonly string[]): void {
    if (this.#peers.size > peerIds.length) {
      const kept = new Set(peerIds);
      [...this.#peers.keys()]
        .filter((id) => !kept.has(id))
        .forEach((id) => {
          this.#peers.delete(id);
        });
    }
  }
}

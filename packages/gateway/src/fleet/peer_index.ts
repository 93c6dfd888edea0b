/**
 * Holds what peers last said of each upstream, by upstream. A peer's next word
 * replaces all that it said before, so a change costs what that peer names, and
 * a look at an upstream what its peers say of it.
 */
export class PeerIndex<Value> {
  readonly #byUpstream = new Map<string, Map<string, Value>>();
  /** The upstreams that each peer names. */
  readonly #named = new Map<string, readonly string[]>();

  replace(
    peerId: string,
    entries: readonly (readonly [upstreamId: string, value: Value])[],
  ): void {
    this.drop(peerId);
    entries.forEach(([upstreamId, value]) => {
      const peers = this.#byUpstream.get(upstreamId) ?? new Map();
      this.#byUpstream.set(upstreamId, peers.set(peerId, value));
    });
    this.#named.set(
      peerId,
      entries.map(([upstreamId]) => upstreamId),
    );
  }

  /** Whether no peer names any upstream. */
  get isEmpty(): boolean {
    return this.#byUpstream.size === 0;
  }

  /** Lists the upstreams that a peer names. */
  listNamed(peerId: string): readonly string[] {
    return this.#named.get(peerId) ?? [];
  }

  /** Whether any peer says something of an upstream. */
  isNamed(upstreamId: string): boolean {
    return this.#byUpstream.has(upstreamId);
  }

  drop(peerId: string): void {
    this.#named.get(peerId)?.forEach((upstreamId) => {
      const peers = this.#byUpstream.get(upstreamId);
      peers?.delete(peerId);
      if (peers?.size === 0) {
        this.#byUpstream.delete(upstreamId);
      }
    });
    this.#named.delete(peerId);
  }

  /** Lists what peers say of an upstream, with their ids. */
  list(upstreamId: string): readonly (readonly [string, Value])[] {
    const peers = this.#byUpstream.get(upstreamId);
    return peers === undefined ? [] : [...peers];
  }
}

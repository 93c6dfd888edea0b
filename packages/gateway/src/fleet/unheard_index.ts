/** Holds which peers report to receive nothing from an instance, by its id. */
export class UnheardIndex {
  readonly #unheardBy = new Map<string, Set<string>>();

  /** Replaces what a peer reported `before`. */
  update(
    peerId: string,
    before: readonly string[] = [],
    now: readonly string[],
  ): void {
    before.forEach((id) => {
      this.#unheardBy.get(id)?.delete(peerId);
    });
    now.forEach((id) => {
      const peers = this.#unheardBy.get(id) ?? new Set();
      this.#unheardBy.set(id, peers.add(peerId));
    });
  }

  /** Returns whether some peer reports to receive nothing from an instance. */
  has(instanceId: string): boolean {
    return (this.#unheardBy.get(instanceId)?.size ?? 0) > 0;
  }
}

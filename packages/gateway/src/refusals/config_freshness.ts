/** How old what an instance knows of the configuration is; ages in ms. */
export type ConfigAges = {
  /** Time since the configuration in force was adopted here. */
  readonly configAgeMs: number | undefined;
  /** Time since a call of the store was last answered here. */
  readonly storeAgeMs: number | undefined;
  /** Latest store revision of operators' records that a peer has told of. */
  readonly peerRevision: number;
};

/** Records when an instance learned what it knows of the configuration. */
export class ConfigFreshness {
  readonly #readNowMs: () => number;
  #adoptedMs: number | undefined;
  #contactMs: number | undefined;
  #peerRevision = 0;
  #isReadable = true;

  constructor(readNowMs: () => number) {
    this.#readNowMs = readNowMs;
  }

  /** Whether the newest configuration that was seen could be read. */
  get isReadable(): boolean {
    return this.#isReadable;
  }

  get peerRevision(): number {
    return this.#peerRevision;
  }

  /** Records that a configuration was read, and whether it could be. */
  recordRead(isReadable: boolean): void {
    this.#isReadable = isReadable;
  }

  recordAdopted(): void {
    this.#adoptedMs = this.#readNowMs();
  }

  recordStoreContact(isReached: boolean): void {
    if (isReached) {
      this.#contactMs = this.#readNowMs();
    }
  }

  /** Records the latest revision of operators' records that a peer has seen. */
  recordPeerRevision(revision: number): void {
    this.#peerRevision = Math.max(this.#peerRevision, revision);
  }

  describe(): ConfigAges {
    return {
      configAgeMs: this.#measureMs(this.#adoptedMs),
      storeAgeMs: this.#measureMs(this.#contactMs),
      peerRevision: this.#peerRevision,
    };
  }

  #measureMs(sinceMs: number | undefined): number | undefined {
    return sinceMs === undefined
      ? undefined
      : Math.round(this.#readNowMs() - sinceMs);
  }
}

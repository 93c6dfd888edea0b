/** What is believed of one process of an upstream. */
export type Belief = {
  readonly service: string;
  readonly baseLog: number;
  readonly log: number;
  /** What placing uses of it. */
  readonly slowness: number;
  readonly weight: number;
  readonly atMs: number;
};

type LevelSum = { readonly sum: number; readonly count: number };

/** Holds beliefs by process, and their mean of each service. */
export class BeliefBook {
  readonly #beliefs = new Map<string, Belief>();
  readonly #levels = new Map<string, LevelSum>();

  get size(): number {
    return this.#beliefs.size;
  }

  get(key: string): Belief | undefined {
    return this.#beliefs.get(key);
  }

  set(key: string, belief: Belief): void {
    const known = this.#beliefs.get(key);
    this.#beliefs.set(key, belief);
    if (known?.service === belief.service) {
      this.#shift(belief.service, belief.log - known.log, 0);
      return;
    }
    if (known !== undefined) {
      this.#shift(known.service, -known.log, -1);
    }
    this.#shift(belief.service, belief.log, 1);
  }

  delete(key: string): void {
    const known = this.#beliefs.get(key);
    if (known !== undefined) {
      this.#beliefs.delete(key);
      this.#shift(known.service, -known.log, -1);
    }
  }

  listKeys(): readonly string[] {
    return [...this.#beliefs.keys()];
  }

  /** Returns the mean logarithm of slowness of a service's known upstreams. */
  getMeanLog(service: string): number {
    const { sum, count } = this.#levels.get(service) ?? { sum: 0, count: 1 };
    return sum / count;
  }

  #shift(service: string, log: number, count: number): void {
    const known = this.#levels.get(service) ?? { sum: 0, count: 0 };
    const level = { sum: known.sum + log, count: known.count + count };
    if (level.count > 0) {
      this.#levels.set(service, level);
    } else {
      this.#levels.delete(service);
    }
  }
}

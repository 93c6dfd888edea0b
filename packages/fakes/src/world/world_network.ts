import { type DataCentreId, drawRandom } from "@gooseberryline/core";

const LOCAL_DELAY_MS = 0.5;

/** Simulates message delay, loss and network partitions. */
export class WorldNetwork {
  readonly #delayMs: number;
  readonly #partitions = new Set<string>();
  #seed: number;
  #lossShare = 0;

  constructor(seed: number, delayMs: number) {
    this.#seed = seed;
    this.#delayMs = delayMs;
  }

  /** Sets the share of messages that are lost. */
  setLoss(share: number): void {
    this.#lossShare = share;
  }

  /** Partitions two endpoints: instance, data centre or "platform". */
  cut(a: string, b: string): void {
    this.#partitions.add(`${a}|${b}`);
  }

  heal(a: string, b: string): void {
    this.#partitions.delete(`${a}|${b}`);
  }

  healAll(): void {
    this.#partitions.clear();
  }

  /** Draws a message's delay in milliseconds; undefined if it is lost. */
  drawDelay(
    from: { readonly id: string; readonly dataCentre: DataCentreId },
    to: { readonly id: string; readonly dataCentre: DataCentreId },
  ): number | undefined {
    const { value, seed } = drawRandom(this.#seed);
    this.#seed = seed;
    if (this.isCut(from, to) || value < this.#lossShare) {
      return undefined;
    }
    const isLocal = from.dataCentre === to.dataCentre;
    const baseMs = isLocal ? LOCAL_DELAY_MS : this.#delayMs;
    return baseMs * (1 + value / 2);
  }

  isCut(
    a: { readonly id: string; readonly dataCentre: string },
    b: { readonly id: string; readonly dataCentre: string },
  ): boolean {
    const pairs = [
      [a.id, b.id],
      [a.dataCentre, b.dataCentre],
      [a.id, b.dataCentre],
      [a.dataCentre, b.id],
    ];
    return pairs.some(
      ([one, other]) =>
        this.#partitions.has(`${one}|${other}`) ||
        this.#partitions.has(`${other}|${one}`),
    );
  }
}

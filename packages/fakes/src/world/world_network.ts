import { type DataCentreId, drawRandom } from "@gooseberryline/core";

const LOCAL_DELAY_MS = 0.5;

/** Decides whether and when a message arrives. */
export class WorldNetwork {
  readonly #delayMs: number;
  readonly #cuts = new Set<string>();
  #seed: number;
  #lossShare = 0;

  constructor(seed: number, delayMs: number) {
    this.#seed = seed;
    this.#delayMs = delayMs;
  }

  /** Drops this share of all messages between instances. */
  setLoss(share: number): void {
    this.#lossShare = share;
  }

  /** Cuts two ends (instance, data centre or "platform") off each other. */
  cut(a: string, b: string): void {
    this.#cuts.add(`${a}|${b}`);
  }

  heal(a: string, b: string): void {
    this.#cuts.delete(`${a}|${b}`);
  }

  healAll(): void {
    this.#cuts.clear();
  }

  /** Delay of a message, or undefined where it is lost. */
  draw(
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
    const names = [
      [a.id, b.id],
      [a.dataCentre, b.dataCentre],
      [a.id, b.dataCentre],
      [a.dataCentre, b.id],
    ];
    return names.some(
      ([one, other]) =>
        this.#cuts.has(`${one}|${other}`) || this.#cuts.has(`${other}|${one}`),
    );
  }
}

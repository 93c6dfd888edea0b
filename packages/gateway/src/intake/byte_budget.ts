import { chooseYielder } from "@gooseberryline/core";
import { INTAKE_CONSTANTS } from "./constants.ts";
import type { HolderEvents, Holding } from "./types.ts";

type Holder = {
  bytes: number;
  /** Bytes that have come, and how many of them the last sweep saw. */
  received: number;
  seen: number;
  /** Time without any, as sweeps have counted it, in ms. */
  idleMs: number;
  readonly events: HolderEvents;
};

/** Bytes after which a holder counts as having made progress. */
const PROGRESS_BYTES = 65_536;

/**
 * Counts the bytes that this process holds for clients. When there is no room, those
 * that have made no progress for longest give way.
 */
export class ByteBudget {
  readonly #limit: number;
  readonly #onYield: (bytes: number) => void;
  #total = 0;
  #sweptMs = 0;
  /** Those that give way, the one longest without progress first. */
  readonly #yielding = new Set<Holder>();

  constructor(
    limit: number,
    onYield: (bytes: number) => void = () => undefined,
  ) {
    this.#limit = limit;
    this.#onYield = onYield;
  }

  get total(): number {
    return this.#total;
  }

  /** Bytes that may still be taken. */
  get room(): number {
    return Math.max(0, this.#limit - this.#total);
  }

  /** Opens a holding, which may have to give way until it is kept. */
  open(events: HolderEvents): Holding {
    const holder = { bytes: 0, received: 0, seen: -1, idleMs: 0, events };
    this.#yielding.add(holder);
    return {
      get bytes() {
        return holder.bytes;
      },
      take: (bytes) => this.#take(holder, bytes),
      takeFree: (bytes) =>
        this.#total + bytes <= this.#limit && this.#take(holder, bytes),
      recordReceived: (bytes) => {
        holder.received += bytes;
      },
      keep: () => {
        this.#yielding.delete(holder);
      },
      release: () => {
        this.#yielding.delete(holder);
        this.#total -= holder.bytes;
        holder.bytes = 0;
      },
    };
  }

  /** Lets one holder give way; returns false if there is none. */
  yieldOne(): boolean {
    const holder = chooseYielder(this.#yielding);
    if (holder === undefined) {
      return false;
    }
    this.#yield(holder);
    return true;
  }

  /**
   * Ends those of which nothing has come for `idleMs`. No more than an interval
   * counts at once, since after a pause of the process bytes may wait to be read.
   */
  sweep(nowMs: number, idleMs: number): void {
    const stepMs = Math.min(
      nowMs - this.#sweptMs,
      INTAKE_CONSTANTS.SWEEP_INTERVAL_MS,
    );
    this.#sweptMs = nowMs;
    [...this.#yielding].forEach((holder) => {
      const { events, received, seen } = holder;
      const isWaiting = received === seen && events.isPaused?.() !== true;
      holder.seen = received;
      holder.idleMs = isWaiting ? holder.idleMs + stepMs : 0;
      if (isWaiting && holder.idleMs >= idleMs) {
        events.onStall?.();
      }
    });
  }

  #take(holder: Holder, bytes: number): boolean {
    while (this.#total + bytes > this.#limit) {
      const other = chooseYielder(this.#yielding);
      if (other === undefined || other === holder) {
        // A single one is served whatever the limit is.
        if (this.#total > holder.bytes) {
          return false;
        }
        break;
      }
      this.#yield(other);
    }
    const isProgress =
      Math.floor(holder.bytes / PROGRESS_BYTES) !==
      Math.floor((holder.bytes + bytes) / PROGRESS_BYTES);
    holder.bytes += bytes;
    this.#total += bytes;
    if (isProgress && this.#yielding.delete(holder)) {
      this.#yielding.add(holder);
    }
    return true;
  }

  #yield(holder: Holder): void {
    this.#yielding.delete(holder);
    this.#onYield(holder.bytes);
    holder.events.onYield();
    this.#total -= holder.bytes;
    holder.bytes = 0;
  }
}

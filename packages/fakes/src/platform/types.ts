/** The stand-in for the platform's key-value service. */
import type { ListedInstance } from "@gooseberryline/core";

/** Faults that the stand-in can be told to show. */
export type StoreFaults = {
  /** Whether every call is dropped without an answer. */
  readonly isDown: boolean;
  /** Added to every answer, milliseconds. */
  readonly delayMs: number;
  /** How many of the next writes take effect but lose their answer. */
  readonly loseAnswers: number;
};

/** What the stand-in allows and holds at start. */
export type StoreOptions = {
  readonly writesPerSecond?: number;
  readonly readsPerSecond?: number;
  readonly instances?: readonly ListedInstance[];
};

/** Calls counted since start; a waiting watch counts as one. */
export type StoreCalls = Readonly<Record<string, number>>;

/** A running stand-in. */
export type FakeStore = {
  readonly url: string;
  readonly setFaults: (faults: Partial<StoreFaults>) => void;
  readonly setInstances: (instances: readonly ListedInstance[]) => void;
  readonly readCalls: () => StoreCalls;
  readonly close: () => Promise<void>;
};

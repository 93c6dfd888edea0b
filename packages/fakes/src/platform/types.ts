/** Types of the fake of the platform's key-value service. */
import type { ListedInstance } from "@gooseberryline/core";

/** Faults that a test can inject into the service. */
export type StoreFaults = {
  /** Closes the connection of every call without an answer. */
  readonly isDown: boolean;
  /** Delay added to every answer, in milliseconds. */
  readonly delayMs: number;
  /** Number of upcoming writes that take effect but whose answer is lost. */
  readonly loseAnswers: number;
};

/** Rate limits of the service and the instances that it lists at start. */
export type StoreOptions = {
  readonly writesPerSecond?: number;
  readonly readsPerSecond?: number;
  readonly instances?: readonly ListedInstance[];
};

/** Number of calls since start by path; a pending watch counts as one. */
export type StoreCalls = Readonly<Record<string, number>>;

/** A running fake key-value service. */
export type FakeStore = {
  readonly url: string;
  readonly setFaults: (faults: Partial<StoreFaults>) => void;
  readonly setInstances: (instances: readonly ListedInstance[]) => void;
  readonly readCalls: () => StoreCalls;
  readonly close: () => Promise<void>;
};

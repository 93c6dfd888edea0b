/** Types of the choice who watches the metadata store for whom. */
import type { FleetMember } from "../fleet/types.ts";

/** How many watchers a data centre has, and at least the whole fleet. */
export type WatcherNumbers = {
  readonly perDataCentre: number;
  readonly atLeast: number;
};

/** What an instance knows of its data centre when it chooses a watcher. */
export type WatcherFacts = {
  /** Peers of its data centre that it hears from. */
  readonly peers: readonly FleetMember[];
  /** Whether an instance, itself included, reaches the store directly. */
  readonly isReaching: (id: string) => boolean;
  /** Whether a peer has lately failed as a watcher. */
  readonly isAvoided: (id: string) => boolean;
  /** How many instances of a data centre watch the store. */
  readonly count: number;
};

/** Types of what is held for clients. */

/** Room that one client's request or answer takes. */
export type Holding = {
  readonly bytes: number;
  /** Takes more room; returns false if there is none. */
  readonly take: (bytes: number) => boolean;
  /** The same, but nothing gives way to it. */
  readonly takeFree: (bytes: number) => boolean;
  /** Notes bytes that have come, whether or not they took room. */
  readonly recordReceived: (bytes: number) => void;
  /** From now on it does not give way. */
  readonly keep: () => void;
  /** Gives all room back; later calls do nothing. */
  readonly release: () => void;
};

/** What a holder does when it has to go; it gives its room back at once. */
export type HolderEvents = {
  readonly onYield: () => void;
  /** Called when nothing has come for too long. */
  readonly onStall?: () => void;
  /** Whether nothing is read for it now, so that it can't be late. */
  readonly isPaused?: () => boolean;
};

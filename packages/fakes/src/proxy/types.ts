/** The stand-in for what stands between two ends of a connection. */
export type FakeProxy = {
  readonly url: string;
  /** Connections opened so far. */
  readonly countOpened: () => number;
  /** Forgets the open connections: they go silent, new ones work. */
  readonly freeze: () => void;
  readonly close: () => Promise<void>;
};

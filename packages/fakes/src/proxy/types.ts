/** A direction in which bytes pass: to the server, or back to its client. */
export type ProxyDirection = "out" | "back";

/** A fake network middlebox between the two ends of a connection. */
export type FakeProxy = {
  readonly url: string;
  /** Returns the number of connections opened so far. */
  readonly countConnections: () => number;
  /** Stops forwarding on the open connections; new connections work. */
  readonly stopForwarding: () => void;
  /** Resets the open connections; new connections work. */
  readonly reset: () => void;
  /** Ends open connections in order and stops listening, as a killed process does. */
  readonly endAsKilled: () => void;
  /** Listens again at the same address, unless it does. */
  readonly listenAgain: () => Promise<void>;
  /** Holds each piece back for this long, on all connections. */
  readonly setDelay: (delayMs: number) => void;
  /** Holds back all that passes in a direction; undefined lets it go on. */
  readonly cut: (direction: ProxyDirection | undefined) => void;
  readonly close: () => Promise<void>;
};

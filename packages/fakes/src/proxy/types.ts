/** A fake network middlebox between the two ends of a connection. */
export type FakeProxy = {
  readonly url: string;
  /** Returns the number of connections opened so far. */
  readonly countConnections: () => number;
  /** Stops forwarding on the open connections; new connections work. */
  readonly stopForwarding: () => void;
  readonly close: () => Promise<void>;
};

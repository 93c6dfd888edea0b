/** Types of the fake model engine. */

export type EngineOptions = {
  /** Time to the first token, in milliseconds. */
  readonly firstTokenMs?: number;
  /** Time between tokens, in milliseconds. */
  readonly tokenMs?: number;
  /** Number of tokens in an answer if the request has no `max_tokens`. */
  readonly tokens?: number;
  readonly model?: string;
};

/** Faults that a test can inject into the engine. */
export type EngineFaults = {
  /** Accepts requests and never answers. */
  readonly isSilent: boolean;
  /** Closes the stream after this many tokens, without `[DONE]`. */
  readonly cutAfterTokens: number | undefined;
  /** Echoes a wrong request ID. */
  readonly hasWrongRequestId: boolean;
  /** Answers every request with this HTTP status. */
  readonly failStatus: number | undefined;
};

/** A request that the engine received. */
export type EngineRequest = {
  readonly requestId: string;
  readonly prompt: string;
  readonly headers: Readonly<Record<string, unknown>>;
  isFinished: boolean;
};

export type FakeEngine = {
  readonly url: string;
  readonly runs: readonly EngineRequest[];
  readonly countInFlight: () => number;
  /** Returns the number of streams that are blocked by backpressure. */
  readonly countBlockedStreams: () => number;
  readonly setFaults: (faults: Partial<EngineFaults>) => void;
  readonly close: () => Promise<void>;
};

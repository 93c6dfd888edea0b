/** The stand-in for a model engine. */

export type EngineOptions = {
  /** Time to the first token, milliseconds. */
  readonly firstTokenMs?: number;
  /** Time between tokens, milliseconds. */
  readonly tokenMs?: number;
  /** Tokens in an answer unless the request says `max_tokens`. */
  readonly tokens?: number;
  readonly model?: string;
};

/** Faults that the stand-in can be told to show. */
export type EngineFaults = {
  /** Accepts requests and never answers. */
  readonly isSilent: boolean;
  /** Ends the answer after so many tokens, without its end mark. */
  readonly cutAfterTokens: number | undefined;
  /** Answers with another request's id. */
  readonly isCrossed: boolean;
  /** Answers every request with this status. */
  readonly failStatus: number | undefined;
};

/** One request that the engine ran, as its own log has it. */
export type EngineRun = {
  readonly requestId: string;
  readonly prompt: string;
  readonly headers: Readonly<Record<string, unknown>>;
  isFinished: boolean;
};

export type FakeEngine = {
  readonly url: string;
  readonly runs: readonly EngineRun[];
  readonly countInFlight: () => number;
  /** Streams that wait for their reader to take more. */
  readonly countStalled: () => number;
  readonly setFaults: (faults: Partial<EngineFaults>) => void;
  readonly close: () => Promise<void>;
};

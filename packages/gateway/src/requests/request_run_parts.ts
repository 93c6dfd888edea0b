import type { RequestPasser } from "../passing/request_passer.ts";
import type { StreamOrigins } from "../streams/stream_origins.ts";
import type { TurnParts } from "../waiting/request_turn.ts";
import type { AttemptParts } from "./attempt.ts";

/** What the run of a request needs of its instance. */
export type RequestRunParts = AttemptParts & {
  readonly origins: Pick<StreamOrigins, "find" | "recordBegun">;
  /** Passes requests on to peers; undefined for one that a peer passed on. */
  readonly passer?: RequestPasser | undefined;
  /** Where requests wait for room; undefined if they don't wait here. */
  readonly turns?: TurnParts | undefined;
  /** Called with the outcome and the time it took, in ms. */
  readonly onDone: (outcome: string, tookMs: number) => void;
};

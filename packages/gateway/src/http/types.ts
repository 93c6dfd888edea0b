/** Types of the listeners. */
import type { JobApi } from "../jobs/job_api.ts";
import type { RequestPasser } from "../passing/request_passer.ts";
import type { TableCheck } from "../refusals/table_check.ts";
import type { AttemptParts } from "../requests/attempt.ts";
import type { StreamOrigins } from "../streams/stream_origins.ts";
import type { TurnParts } from "../waiting/request_turn.ts";

/** What the calls of callers are served by. */
export type CallParts = AttemptParts & {
  readonly jobs: JobApi;
  readonly origins: StreamOrigins;
  readonly tableCheck: Pick<TableCheck, "confirm">;
  readonly passer?: RequestPasser;
  readonly turns?: TurnParts | undefined;
  readonly onDone: (outcome: string, tookMs: number) => void;
};

/** Why a connection was closed that could have gone on. */
export type CloseReason =
  | "too-many"
  | "too-far-ahead"
  | "heads-too-long"
  | "no-room";

/** Moments of a planned stop, on the monotonic clock, in ms. */
export type StopTimes = {
  /** Until then the platform may send new requests, not knowing of the stop. */
  readonly noticeEndMs: number;
  /** What is still in flight then is ended. */
  readonly endMs: number;
};

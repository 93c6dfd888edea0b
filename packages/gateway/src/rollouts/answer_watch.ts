import type { AnswerCounts, UpstreamEntry } from "@gooseberryline/core";

/** How an attempt ended, as far as it tells of the upstream's version. */
export type WatchedEnd =
  | "whole"
  | "broken"
  /** No answer in time, or the caller left: only its time tells something. */
  | "abandoned"
  /** The upstream did not run it. */
  | "not-run";

type AnswerWatchParts = {
  readonly entry: UpstreamEntry;
  readonly route: string;
  readonly startedMs: number;
  /** Time from which an answer is slow, in ms; undefined if it is not judged. */
  readonly slowMs: number | undefined;
  /** Whether the upstream was warm and had room. */
  readonly canCompare: boolean;
  readonly readNowMs: () => number;
  readonly onEnd: (end: {
    readonly counts: AnswerCounts;
    /** Time to the first byte of a sound answer, in ms. */
    readonly firstMs: number | undefined;
  }) => void;
};

const SERVER_ERROR = 500;
/** Statuses of an upstream that is full, or whose time was over. */
const STATUSES_OF_LOAD: readonly number[] = [503, 504];

/** Follows one attempt for the comparison of versions. */
export class AnswerWatch {
  readonly #parts: AnswerWatchParts;
  #status = 0;
  #firstMs: number | undefined;
  #isEnded = false;

  constructor(parts: AnswerWatchParts) {
    this.#parts = parts;
  }

  recordHead(status: number): void {
    this.#status = status;
  }

  recordFirstByte(): void {
    this.#firstMs ??= this.#parts.readNowMs() - this.#parts.startedMs;
  }

  finish(end: WatchedEnd): void {
    if (this.#isEnded) {
      return;
    }
    this.#isEnded = true;
    const { slowMs, canCompare, readNowMs, startedMs, onEnd } = this.#parts;
    const isFailed =
      this.#status >= SERVER_ERROR && !STATUSES_OF_LOAD.includes(this.#status);
    const tookMs = this.#firstMs ?? readNowMs() - startedMs;
    const isOver = slowMs !== undefined && tookMs > slowMs;
    const hasTime = this.#firstMs !== undefined || isOver;
    const isCounted =
      end === "whole" || end === "broken" || (end === "abandoned" && hasTime);
    if (!isCounted) {
      return;
    }
    const isJudged = canCompare && slowMs !== undefined && hasTime;
    const isSound = end === "whole" && !isFailed && canCompare;
    onEnd({
      counts: {
        answered: 1,
        failed: isFailed ? 1 : 0,
        broken: end === "broken" && !isFailed ? 1 : 0,
        judged: isJudged ? 1 : 0,
        slow: isJudged && isOver ? 1 : 0,
      },
      firstMs: isSound ? this.#firstMs : undefined,
    });
  }
}

import { REFUSALS } from "./constants.ts";

type Window = {
  readonly startedMs: number;
  readonly lines: number;
  /** Lines left out since the last one that was written. */
  readonly omitted: number;
};

const WINDOW_MS = 1_000;

/** Bounds the log lines of each code, so that a flood of one hides no other. */
export class LineBudget {
  readonly #windows = new Map<string, Window>();

  /**
   * Takes a line; returns how many of its code were left out before it, or
   * undefined if it is to be left out as well.
   */
  take(code: string, nowMs: number): number | undefined {
    const last = this.#windows.get(code);
    const isOver = last === undefined || nowMs - last.startedMs >= WINDOW_MS;
    const window = isOver
      ? { startedMs: nowMs, lines: 0, omitted: last?.omitted ?? 0 }
      : last;
    const { lines, omitted } = window;
    const hasRoom = lines < REFUSALS.LINES_PER_SECOND;
    this.#windows.set(
      code,
      hasRoom
        ? { ...window, lines: lines + 1, omitted: 0 }
        : { ...window, omitted: omitted + 1 },
    );
    return hasRoom ? omitted : undefined;
  }
}

import { assertNever } from "@gooseberryline/core";
import type { ExchangeEnd } from "../exchange/types.ts";
import type { WatchedEnd } from "./answer_watch.ts";

/** What an attempt's end tells of the upstream's version; silence may be a cut. */
export function toWatchedEnd(end: ExchangeEnd): WatchedEnd {
  switch (end.kind) {
    case "whole":
      return "whole";
    case "lost":
      return end.isSilent ? "abandoned" : "broken";
    case "unsent":
    case "unexecuted":
      return "not-run";
    default:
      return assertNever(end);
  }
}

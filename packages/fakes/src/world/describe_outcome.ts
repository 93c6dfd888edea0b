import {
  type AttemptOutcome,
  assertNever,
  type UpstreamId,
} from "@gooseberryline/core";
import type { EngineNotice } from "./virtual_engine.ts";

/** Converts an engine's final notice to the outcome of the attempt. */
export function describeOutcome(
  notice: Exclude<EngineNotice, { kind: "first-token" }>,
  peer: UpstreamId,
  isRelayed: boolean,
): AttemptOutcome {
  switch (notice.kind) {
    case "whole":
      return { kind: "completed", status: 200, tokens: notice.tokens };
    case "refused": {
      const message = "the engine refused the connection";
      const fault = {
        code: "upstream_unreachable",
        step: "connect",
        peer,
        message,
      } as const;
      return { kind: "not-started", fault };
    }
    case "cut-off":
    case "crashed": {
      const code =
        notice.kind === "cut-off" ? "answer_cut_off" : "upstream_error";
      const fault = { code, step: "answer", peer, message: code } as const;
      return { kind: "failed", fault, isRelayed };
    }
    default:
      return assertNever(notice);
  }
}

import type { EventLog } from "@gooseberryline/core";
import type { CloseReason } from "../http/types.ts";
import type { GatewayMetrics } from "../metrics/create_gateway_metrics.ts";

/** Time over which what gave way is added up for one log line, in ms. */
const WINDOW_MS = 1_000;

type ReporterParts = {
  readonly log: Pick<EventLog, "warn">;
  readonly metrics: Pick<GatewayMetrics, "recordYield" | "recordClosed">;
};

/** Reports what gives way to stay inside the limits; silent while nothing does. */
export class CrowdReporter {
  readonly #parts: ReporterParts;
  #counts = { requests: 0, messages: 0, answers: 0, connections: 0 };
  #timer: NodeJS.Timeout | undefined;

  constructor(parts: ReporterParts) {
    this.#parts = parts;
  }

  recordYield(kind: "request" | "message" | "answer"): void {
    this.#parts.metrics.recordYield(kind);
    this.#count(`${kind}s`);
  }

  recordClosed(reason: CloseReason): void {
    this.#parts.metrics.recordClosed(reason);
    this.#count("connections");
  }

  #count(name: "requests" | "messages" | "answers" | "connections"): void {
    this.#counts[name] += 1;
    this.#timer ??= setTimeout(() => {
      this.#parts.log.warn("crowded", this.#counts);
      this.#counts = { requests: 0, messages: 0, answers: 0, connections: 0 };
      this.#timer = undefined;
    }, WINDOW_MS).unref();
  }
}

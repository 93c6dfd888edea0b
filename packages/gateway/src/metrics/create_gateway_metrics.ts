import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Crossing } from "../fleet/leaving_planner.ts";
import type { CloseReason } from "../http/types.ts";
import { createRolloutMetrics } from "../rollouts/create_rollout_metrics.ts";
import type { RolloutFigures } from "../rollouts/types.ts";
import type { StoreCall } from "../store/count_store_calls.ts";

/** Upper bounds of the latency histogram, in ms. */
const LATENCY_BOUNDS_MS = [10, 25, 50, 100, 200, 300, 500, 1_000, 2_000, 5_000];
const PREFIX = "gooseberryline_";

/** The metrics of an instance, rendered as Prometheus text. */
export type GatewayMetrics = {
  /** Records the outcome and duration of a request. */
  readonly recordRequest: (outcome: string, tookMs: number) => void;
  /** Records an error that the gateway itself returned. */
  readonly recordRefusal: (status: number, code: string) => void;
  /** Records a call of the metadata store that this instance makes. */
  readonly recordStoreCall: (call: StoreCall) => void;
  /** Records that a request, message or answer gave way to others. */
  readonly recordYield: (kind: YieldKind) => void;
  /** Records that a connection was closed to stay inside the limits. */
  readonly recordClosed: (reason: CloseReason) => void;
  /** Records whether a request started, waited or was refused. */
  readonly recordTurn: (outcome: string) => void;
  /** Records an attempt that crossed to another data centre. */
  readonly recordCrossing: (crossing: Crossing) => void;
  /** Sets a gauge to its current value. */
  readonly setGauge: (name: GaugeName, value: number) => void;
  /** Sets what is known of a service's roll-out, in place of all before. */
  readonly setRollouts: (rollouts: readonly RolloutFigures[]) => void;
  readonly render: () => Promise<string>;
};

/** What gives way when there is no room. */
type YieldKind = "request" | "message" | "answer";

export type GaugeName =
  | "requests_open"
  | "request_bytes_held"
  | "message_bytes_held"
  | "requests_waiting"
  | "waiting_bytes"
  | "items_running"
  | "answer_bytes_held"
  | "upstreams_known"
  | "watches_followed"
  | "upstreams_slow"
  | "upstreams_fast"
  | "jobs_over_limit"
  | "program_faults"
  | "prompt_blocks";

/** Creates the counters, histograms and gauges of an instance. */
export function createGatewayMetrics(): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const requests = new Counter({
    name: `${PREFIX}requests_total`,
    help: "requests that ended, by outcome",
    labelNames: ["outcome"],
    registers,
  });
  const refusals = new Counter({
    name: `${PREFIX}refusals_total`,
    help: "errors that the gateway itself returned, by status and code",
    labelNames: ["status", "code"],
    registers,
  });
  const storeCalls = new Counter({
    name: `${PREFIX}store_calls_total`,
    help: "calls of the metadata store, by kind and records",
    labelNames: ["call", "records"],
    registers,
  });
  const yields = new Counter({
    name: `${PREFIX}yields_total`,
    help: "requests, messages and answers that gave way to others",
    labelNames: ["kind"],
    registers,
  });
  const closed = new Counter({
    name: `${PREFIX}connections_closed_total`,
    help: "connections closed to stay inside the limits, by reason",
    labelNames: ["reason"],
    registers,
  });
  const crossingLabels = ["from", "to", "why"] as const;
  const crossings = new Counter({
    name: `${PREFIX}crossings_total`,
    help: "attempts at upstreams of another data centre, by pair and reason",
    labelNames: crossingLabels,
    registers,
  });
  const crossingBytes = new Counter({
    name: `${PREFIX}crossing_bytes_total`,
    help: "bytes of their requests and answers, without heads",
    labelNames: crossingLabels,
    registers,
  });
  const latency = new Histogram({
    name: `${PREFIX}request_ms`,
    help: "time from a request's head to its end, ms",
    labelNames: ["outcome"],
    buckets: LATENCY_BOUNDS_MS,
    registers,
  });
  const turns = new Counter({
    name: `${PREFIX}turns_total`,
    help: "requests for which room was asked at this instance, by outcome",
    labelNames: ["outcome"],
    registers,
  });
  const gauge = (name: GaugeName, help: string) =>
    new Gauge({ name: `${PREFIX}${name}`, help, registers });
  const gauges = {
    requests_open: gauge("requests_open", "requests under way"),
    requests_waiting: gauge(
      "requests_waiting",
      "requests that wait here for room at upstreams",
    ),
    waiting_bytes: gauge("waiting_bytes", "bytes of their bodies"),
    items_running: gauge("items_running", "batch items under way"),
    request_bytes_held: gauge(
      "request_bytes_held",
      "bytes of callers' requests that are read or in flight",
    ),
    message_bytes_held: gauge(
      "message_bytes_held",
      "bytes of peers' messages that are read or in flight",
    ),
    answer_bytes_held: gauge(
      "answer_bytes_held",
      "bytes of upstreams' answers that are held until they are whole and read",
    ),
    jobs_over_limit: gauge(
      "jobs_over_limit",
      "jobs refused for their customer's unfinished items, since the start",
    ),
    prompt_blocks: gauge(
      "prompt_blocks",
      "blocks of requests and prompt parts that crash upstreams",
    ),
    program_faults: gauge(
      "program_faults",
      "faults of the program since the start; anything but 0 is to be looked at",
    ),
    upstreams_slow: gauge(
      "upstreams_slow",
      "upstreams that take noticeably longer than the others of their service",
    ),
    upstreams_fast: gauge(
      "upstreams_fast",
      "upstreams that take noticeably less time than the others",
    ),
    upstreams_known: gauge("upstreams_known", "upstreams in the directory"),
    watches_followed: gauge(
      "watches_followed",
      "prefixes that are followed at a peer instead of at the store",
    ),
  };
  const rollouts = createRolloutMetrics(registry, PREFIX);
  return {
    setRollouts: rollouts.set,
    recordRequest: (outcome, tookMs) => {
      requests.inc({ outcome });
      latency.observe({ outcome }, tookMs);
    },
    recordRefusal: (status, code) => {
      refusals.inc({ status: `${status}`, code });
    },
    recordTurn: (outcome) => turns.inc({ outcome }),
    recordCrossing: ({ bytes, ...labels }) => {
      crossings.inc(labels);
      crossingBytes.inc(labels, bytes);
    },
    recordStoreCall: (call) => storeCalls.inc(call),
    recordYield: (kind) => yields.inc({ kind }),
    recordClosed: (reason) => closed.inc({ reason }),
    setGauge: (name, value) => gauges[name].set(value),
    render: () => registry.metrics(),
  };
}

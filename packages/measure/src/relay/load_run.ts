import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { build, type Histogram } from "hdr-histogram-js";
import { openStream } from "./open_stream.ts";
import type { TokenEngine } from "./token_engine.ts";
import type { LoadOptions, LoadResult, Quantiles } from "./types.ts";

const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const MAX_OPENED_PER_ROUND = 20;
const MAX_PENDING_STREAMS = 100;
const MAX_PENDING_RAMP_REQUESTS = 20;
const OPEN_GAP_MS = 10;
const SETTLE_MS = 300;
const TICK_MS = 1;

type LongStream = {
  readonly streamId: string;
  readonly socket: Socket;
  /** Send times of the tokens in flight, oldest first. */
  readonly sentMs: number[];
  nextMs: number;
};

/** Runs one load against a target and measures throughput and latency. */
export class LoadRun {
  readonly #options: LoadOptions;
  readonly #engines: readonly TokenEngine[];
  readonly #streams = new Map<string, LongStream>();
  readonly #tokenUs: Histogram = build();
  readonly #firstTokenUs: Histogram = build();
  readonly #readyStreams = { count: 0 };
  #isMeasured = false;
  #isFinished = false;
  #sent = 0;
  #delivered = 0;
  #startedRequests = 0;
  #finishedRequests = 0;
  #refusal: string | undefined;

  constructor(options: LoadOptions, engines: readonly TokenEngine[]) {
    this.#options = options;
    this.#engines = engines;
  }

  async run(onMeasurementStart: () => void): Promise<LoadResult> {
    await this.#completeRamp();
    await this.#openLongStreams();
    const timers = this.#startPacing();
    await wait(SETTLE_MS);
    onMeasurementStart();
    const busy = performance.eventLoopUtilization();
    const startedMs = performance.now();
    this.#isMeasured = true;
    await wait(this.#options.durationMs);
    this.#isMeasured = false;
    this.#isFinished = true;
    const elapsedMs = performance.now() - startedMs;
    const loadBusy = performance.eventLoopUtilization(busy).utilization;
    timers.forEach(clearInterval);
    this.#closeAll();
    if (this.#refusal !== undefined) {
      throw new Error(`refused: ${this.#refusal}`);
    }
    return {
      sent: this.#sent,
      delivered: this.#delivered,
      elapsedMs,
      tokenUs: readQuantiles(this.#tokenUs),
      firstTokenUs: readQuantiles(this.#firstTokenUs),
      loadBusy,
    };
  }

  /**
   * Opens the streams in small batches and waits for their first tokens. The
   * number of pending streams is limited, since a ramp limits cold upstreams.
   */
  async #openLongStreams(): Promise<void> {
    const { streams } = this.#options;
    while (this.#streams.size < streams && this.#refusal === undefined) {
      const pending = this.#streams.size - this.#readyStreams.count;
      const count = Math.min(
        MAX_OPENED_PER_ROUND,
        streams - this.#streams.size,
        MAX_PENDING_STREAMS - pending,
      );
      Array.from({ length: count }).forEach(() => {
        this.#openLongStream();
      });
      await wait(OPEN_GAP_MS);
    }
    while (this.#readyStreams.count < streams && this.#refusal === undefined) {
      await wait(OPEN_GAP_MS);
    }
  }

  #openLongStream(): void {
    const streamId = `long-${this.#options.seed}-${this.#streams.size}`;
    const control = { hasFirst: false };
    const socket = openStream(this.#options.targetUrl, {
      streamId,
      isShort: false,
      onRefused: (text) => this.#recordRefusal(text),
      onTokens: (count) => {
        if (control.hasFirst) {
          this.#recordTokens(streamId, count);
        } else {
          control.hasFirst = true;
          this.#readyStreams.count += 1;
          this.#recordTokens(streamId, count - 1);
        }
      },
    });
    const { tokenMs } = this.#options;
    const offset =
      (this.#streams.size * (tokenMs ?? 0)) / this.#options.streams;
    const nextMs = performance.now() + offset;
    this.#streams.set(streamId, { streamId, socket, sentMs: [], nextMs });
  }

  #startPacing(): readonly NodeJS.Timeout[] {
    const { tokenMs, requestsPerSecond } = this.#options;
    if (tokenMs === undefined) {
      this.#streams.forEach((stream) => {
        this.#send(stream);
      });
      return [];
    }
    const startMs = performance.now();
    const streams = [...this.#streams.values()];
    streams.forEach((stream, index) => {
      stream.nextMs = startMs + (index * tokenMs) / streams.length;
    });
    const tokens = setInterval(() => {
      const nowMs = performance.now();
      streams
        .filter(({ nextMs }) => nextMs <= nowMs)
        .forEach((stream) => {
          stream.nextMs += tokenMs;
          this.#send(stream);
        });
    }, TICK_MS);
    const requests = setInterval(
      () => this.#sendShortRequest(),
      MS_PER_SECOND / requestsPerSecond,
    );
    return [tokens, requests];
  }

  #send(stream: LongStream): void {
    const { streamId, sentMs } = stream;
    sentMs.push(performance.now());
    this.#engines.some((engine) => engine.sendToken(streamId));
    this.#sent += this.#isMeasured ? 1 : 0;
  }

  #recordTokens(streamId: string, count: number): void {
    const stream = this.#streams.get(streamId);
    if (stream === undefined || count <= 0) {
      return;
    }
    const nowMs = performance.now();
    stream.sentMs.splice(0, count).forEach((sentMs) => {
      if (this.#isMeasured) {
        this.#delivered += 1;
        this.#tokenUs.recordValue(Math.round((nowMs - sentMs) * US_PER_MS));
      }
    });
    if (this.#options.tokenMs === undefined && !this.#isFinished) {
      this.#send(stream);
    }
  }

  async #completeRamp(): Promise<void> {
    const { rampRequests = 0 } = this.#options;
    while (
      this.#finishedRequests < rampRequests &&
      this.#refusal === undefined
    ) {
      const pending = this.#startedRequests - this.#finishedRequests;
      Array.from({ length: MAX_PENDING_RAMP_REQUESTS - pending }).forEach(
        () => {
          this.#sendShortRequest();
        },
      );
      await wait(TICK_MS);
    }
    this.#firstTokenUs.reset();
  }

  #sendShortRequest(): void {
    this.#startedRequests += 1;
    const startedMs = performance.now();
    const socket = openStream(this.#options.targetUrl, {
      streamId: `short-${this.#options.seed}-${this.#startedRequests}`,
      isShort: true,
      onRefused: (text) => this.#recordRefusal(text),
      onTokens: () => {
        const elapsedUs = (performance.now() - startedMs) * US_PER_MS;
        this.#firstTokenUs.recordValue(Math.round(elapsedUs));
        this.#finishedRequests += 1;
        socket.end();
      },
    });
  }

  #recordRefusal(text: string): void {
    this.#refusal ??= text;
  }

  #closeAll(): void {
    this.#streams.forEach(({ streamId, socket }) => {
      this.#engines.forEach((engine) => {
        engine.finish(streamId);
      });
      socket.end();
    });
  }
}

function readQuantiles(histogram: Histogram): Quantiles {
  return {
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
  };
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

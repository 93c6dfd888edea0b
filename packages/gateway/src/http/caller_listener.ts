import { createServer, type IncomingMessage, type Server } from "node:http";
import { CALL_SHAPES, chooseService } from "@gooseberryline/core";
import Koa, { type Context } from "koa";
import { RequestKey } from "../crashes/request_key.ts";
import type { JobApi } from "../jobs/job_api.ts";
import type { AttemptParts } from "../requests/attempt.ts";
import { callErrors } from "../requests/call_errors.ts";
import { checkCall } from "../requests/check_call.ts";
import { computeTimeLimitMs } from "../requests/compute_time_limit_ms.ts";
import { RequestRun } from "../requests/request_run.ts";
import type { CallReply } from "../requests/types.ts";
import type { Endpoint } from "../settings/types.ts";
import type { StreamOrigins } from "../streams/stream_origins.ts";
import { buildReply } from "./build_reply.ts";
import { closeServer } from "./close_server.ts";
import { countHeaderBytes } from "./count_header_bytes.ts";
import { isTooLate } from "./is_too_late.ts";
import { listenAt } from "./listen_at.ts";
import { OpenCalls } from "./open_calls.ts";
import { readBody } from "./read_body.ts";
import type { StopTimes } from "./types.ts";

type CallerListenerParts = AttemptParts & {
  readonly jobs: JobApi;
  readonly origins: StreamOrigins;
  readonly onDone: (outcome: string, tookMs: number) => void;
};

/**
 * Header limit of Node's parser; larger than any configured limit, which is
 * checked separately.
 */
const MAX_HEADER_BYTES = 262_144;
/** Interval at which Node checks connections for header timeouts, in ms. */
const CHECK_INTERVAL_MS = 500;

/** Serves the HTTP requests of callers. */
export class CallerListener {
  readonly #parts: CallerListenerParts;
  readonly #server: Server;
  /** Requests in flight, by their connection. */
  readonly #open = new OpenCalls();
  #stop: StopTimes | undefined;

  constructor(parts: CallerListenerParts) {
    this.#parts = parts;
    const app = new Koa();
    app.use((ctx) => this.#handle(ctx));
    app.on("error", (error: Error) => {
      parts.log.info("caller-connection-lost", { reason: error.message });
    });
    this.#server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      app.callback(),
    );
  }

  start(endpoint: Endpoint): Promise<void> {
    return listenAt(this.#server, endpoint);
  }

  /** Applies the timeouts of the current configuration to the server. */
  applyLimits(): void {
    const limits = this.#parts.view.table?.config.limits;
    if (limits !== undefined) {
      this.#server.headersTimeout = limits.headerTimeoutMs;
      this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    }
  }

  /**
   * Closes each connection after its next response, and refuses what can't be
   * finished by the end of the stop.
   */
  startDraining(stop: StopTimes): void {
    this.#stop = stop;
  }

  /** Ends the requests in flight with what is known of them. */
  expireAll(): void {
    this.#open.expireAll("this instance is stopping");
  }

  /**
   * Stops accepting requests: new connections are refused and idle ones closed.
   */
  stopAccepting(): void {
    this.#server.close();
  }

  /** Returns the number of requests in flight. */
  countInFlight(): number {
    return this.#open.count();
  }

  stop(): void {
    closeServer(this.#server);
  }

  async #handle(ctx: Context): Promise<void> {
    const { req, res } = ctx;
    ctx.respond = false;
    res.statusCode = 200;
    res.shouldKeepAlive = res.shouldKeepAlive && this.#stop === undefined;
    const call = this.#open.add(req.socket);
    res.once("close", () => {
      call.remove();
      // Its head was sent before the stop, so the caller means to keep it.
      if (this.#stop !== undefined && !call.hasOthers()) {
        req.socket.end();
      }
    });
    await this.#serve(req, buildReply(res), (run) => {
      call.setRun(run);
      res.once("close", () => {
        if (!res.writableFinished) {
          run.cancel();
        }
      });
    });
  }

  async #serve(
    req: IncomingMessage,
    reply: CallReply,
    onRun: (run: RequestRun) => void,
  ): Promise<void> {
    const { view, dialect, jobs, onDone } = this.#parts;
    const receivedMs = view.readNowMs();
    const { table } = view;
    if (table === undefined) {
      reply.sendError(callErrors.notReady("no configuration is known yet"));
      return;
    }
    const { limits } = table.config;
    if (countHeaderBytes(req.rawHeaders) > limits.headerBytes) {
      reply.sendError(callErrors.headersTooLarge());
      return;
    }
    const head = dialect.parseCallHead(req.headers);
    const method = req.method ?? "GET";
    const path = req.url ?? "/";
    const jobCall = dialect.parseJobCall(method, path);
    if (jobCall !== undefined) {
      await jobs.answer(jobCall, head, reply);
      return;
    }
    const check = checkCall(table, head, req.headers.host ?? "", path);
    if (check.kind === "refused") {
      reply.sendError(check.fault);
      return;
    }
    const body = await readBody(req, limits.bodyBytes);
    if (body.kind === "too-large") {
      reply.sendError(callErrors.tooLarge(`over ${limits.bodyBytes} bytes`));
      return;
    }
    if (body.kind === "aborted" || !reply.isConnected()) {
      return;
    }
    const { route, customer } = check;
    if (route.shape === CALL_SHAPES.job) {
      await jobs.accept(route, customer, head, body.bytes, reply);
      return;
    }
    const limitMs = computeTimeLimitMs(route, head);
    if (isTooLate(this.#stop, receivedMs, limitMs)) {
      reply.sendError(callErrors.notReady("this instance is stopping"));
      return;
    }
    const service = chooseService(route, head.requestId ?? path);
    if (service === undefined) {
      reply.sendError(callErrors.noCapacity("the route has no service", 0));
      return;
    }
    const content = {
      method,
      path,
      customer: customer?.name ?? "",
      body: body.bytes,
    };
    const call = {
      key: new RequestKey(content),
      head,
      route,
      service,
      customer,
      method,
      path,
      headers: req.headers,
      body: body.bytes,
      receivedMs,
    };
    const run = new RequestRun(call, reply, { ...this.#parts, onDone });
    onRun(run);
    run.start();
  }
}

import { createServer, type IncomingMessage, type Server } from "node:http";
import Koa, { type Context } from "koa";
import type { ByteBudget } from "../intake/byte_budget.ts";
import { INTAKE_CONSTANTS } from "../intake/constants.ts";
import { RequestIntake } from "../intake/request_intake.ts";
import type { RefusalRecorder } from "../refusals/refusal_recorder.ts";
import { reportRefusals } from "../refusals/report_refusals.ts";
import { callErrors } from "../requests/call_errors.ts";
import { REQUESTS } from "../requests/constants.ts";
import type { RequestRun } from "../requests/request_run.ts";
import type { CallError } from "../requests/types.ts";
import type { Endpoint } from "../settings/types.ts";
import { buildReply } from "./build_reply.ts";
import { closeServer } from "./close_server.ts";
import { Connections } from "./connections.ts";
import { isTooLate } from "./is_too_late.ts";
import { listenAt } from "./listen_at.ts";
import { OpenCalls } from "./open_calls.ts";
import { serveCall } from "./serve_call.ts";
import type { CallParts, CloseReason, StopTimes } from "./types.ts";

type CallerListenerParts = CallParts & {
  /** Room for the requests of callers. */
  readonly budget: ByteBudget;
  /** Connections of callers that may be open at once. */
  readonly maxConnections: number;
  readonly onClosed?: (reason: CloseReason) => void;
  readonly refusals: Pick<RefusalRecorder, "record">;
};

/**
 * Header limit of Node's parser; larger than any configured limit, which is
 * checked separately.
 */
const MAX_HEADER_BYTES = 262_144;
/**
 * The parser's limit as a multiple of the configured one, and the bytes that it
 * allows beyond, as it counts the request line as well.
 */
const PARSED_FACTOR = 1.25;
const REQUEST_LINE_BYTES = 8_192;
/** Interval at which Node checks connections for header timeouts, in ms. */
const CHECK_INTERVAL_MS = 500;

/** Serves the HTTP requests of callers. */
export class CallerListener {
  readonly #parts: CallerListenerParts;
  readonly #server: Server;
  /** The requests in flight, those of peers among them. */
  readonly openCalls = new OpenCalls();
  readonly #connections: Connections;
  #sweepTimer: NodeJS.Timeout | undefined;
  #headTimer: NodeJS.Timeout | undefined;
  #stop: StopTimes | undefined;

  constructor(parts: CallerListenerParts) {
    this.#parts = parts;
    const { budget, held, onClosed } = parts;
    this.#connections = new Connections({
      readNowMs: () => parts.view.readNowMs(),
      max: parts.maxConnections,
      yieldOne: () => budget.yieldOne() || held.yieldOne(),
      onClosed,
    });
    const app = new Koa();
    app.use((ctx) => this.#handle(ctx));
    app.on("error", (error: Error) => {
      parts.log.info("caller-connection-lost", { reason: error.message });
    });
    this.#server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        // Bodies may take long; those that stand still are swept.
        requestTimeout: 0,
        // Answered in its turn, like any other request.
        requireHostHeader: false,
        noDelay: true,
      },
      app.callback(),
    );
    this.#connections.watch(this.#server);
    // `close` would also end those whose answer is still being written.
    this.#server.closeIdleConnections = () => undefined;
  }

  start(endpoint: Endpoint): Promise<void> {
    const { budget, view } = this.#parts;
    this.#headTimer = setInterval(
      () => this.#connections.sweepHeads(budget.room),
      INTAKE_CONSTANTS.HEAD_SWEEP_INTERVAL_MS,
    );
    this.#headTimer.unref();
    this.#sweepTimer = setInterval(() => {
      const idleMs = view.table?.config.limits.idleTimeoutMs;
      if (idleMs !== undefined) {
        // What waits on the sockets is read first.
        setImmediate(() => budget.sweep(view.readNowMs(), idleMs));
      }
    }, INTAKE_CONSTANTS.SWEEP_INTERVAL_MS);
    this.#sweepTimer.unref();
    return listenAt(this.#server, endpoint);
  }

  /** Applies the timeouts and the header limit of the current configuration to the server. */
  applyLimits(): void {
    const limits = this.#parts.view.table?.config.limits;
    if (limits !== undefined) {
      this.#server.headersTimeout = limits.headerTimeoutMs;
      this.#server.keepAliveTimeout = limits.idleTimeoutMs;
      const parsedBytes = Math.ceil(
        limits.headerBytes * PARSED_FACTOR + REQUEST_LINE_BYTES,
      );
      // Read by the runtime for each new connection; its types lack it.
      Object.assign(this.#server, {
        maxHeaderSize: Math.min(MAX_HEADER_BYTES, parsedBytes),
      });
    }
  }

  /**
   * Ends each connection with its next response, and refuses what can't be
   * finished by the end of the stop.
   */
  startDraining(stop: StopTimes): void {
    this.#stop = stop;
  }

  /** Refuses all requests from now on. */
  refuseAll(): void {
    const { NEGATIVE_INFINITY: past } = Number;
    this.#stop = { noticeEndMs: past, endMs: past };
  }

  /** Ends the requests in flight with what is known of them. */
  expireAll(): void {
    this.openCalls.expireAll(REQUESTS.STOPPING);
  }

  /** Whether a request that may take so long, in ms, comes too late in a stop. */
  isTooLate(limitMs: number): boolean {
    return isTooLate(this.#stop, this.#parts.view.readNowMs(), limitMs);
  }

  get isStopping(): boolean {
    return this.#stop !== undefined;
  }

  /** Refuses new connections; those that are open stay. */
  stopAccepting(): void {
    this.#server.close();
  }

  /** Closes the connections that have had no request for `idleMs`. */
  closeIdle(idleMs: number): void {
    this.#connections.closeIdle(idleMs);
  }

  /**
   * Whether requests are in flight, or connections are kept on which one was in
   * the last `idleMs`.
   */
  isBusy(idleMs: number): boolean {
    return this.openCalls.count() > 0 || this.#connections.hasRecent(idleMs);
  }

  /** Returns the number of requests in flight. */
  countInFlight(): number {
    return this.openCalls.count();
  }

  stop(): void {
    clearInterval(this.#sweepTimer);
    clearInterval(this.#headTimer);
    closeServer(this.#server);
  }

  async #handle(ctx: Context): Promise<void> {
    const { req, res } = ctx;
    ctx.respond = false;
    res.statusCode = 200;
    const receivedMs = this.#parts.view.readNowMs();
    const { socket } = req;
    const call = this.openCalls.add();
    const place = this.#connections.placeCall(req);
    const { table } = this.#parts.view;
    const intake = new RequestIntake(req, this.#parts.budget, {
      maxBytes: table?.config.limits.bodyBytes ?? 0,
      isFirst: place.isFirst,
    });
    const end = (): void => {
      intake.end();
      call.remove();
      place.end();
    };
    res.once("close", end);
    if (!intake.hasRoom) {
      place.refuse();
    }
    await place.previous;
    // An answer before it has ended the connection, or its caller has.
    if (!socket.writable) {
      end();
      return;
    }
    intake.beginTurn();
    const endsConnection = (): boolean =>
      this.#stop !== undefined && place.isLast() && req.complete;
    const onRun = (run: RequestRun): void => {
      call.setRun(run);
      res.once("close", () => {
        if (!res.writableFinished) {
          run.cancel();
        }
      });
    };
    const reply = reportRefusals(buildReply(res, endsConnection), (error) =>
      this.#recordRefusal(error, req),
    );
    if (!intake.hasRoom) {
      res.shouldKeepAlive = false;
      reply.sendError(callErrors.crowded());
      return;
    }
    await serveCall(this.#parts, {
      req,
      headerBytes: intake.headerBytes,
      receivedMs,
      reply,
      isBodyOpen: () => !intake.isSettled,
      readBody: async () => {
        const read = await intake.read();
        if (read.kind === "crowded" || read.kind === "stalled") {
          // What is left of the body is not read.
          res.shouldKeepAlive = false;
        }
        return read;
      },
      arrivalTable: table,
      isTooLate: (limitMs) => isTooLate(this.#stop, receivedMs, limitMs),
      onRun,
    });
  }

  #recordRefusal(error: CallError, { headers }: IncomingMessage): void {
    const { dialect, refusals } = this.#parts;
    const { requestId } = dialect.parseCallHead(headers);
    refusals.record(error, { requestId, host: headers.host });
  }
}

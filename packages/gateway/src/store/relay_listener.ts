import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import {
  assertNever,
  type MetadataChanges,
  type MetadataFailure,
  type MetadataStore,
} from "@gooseberryline/core";
import Koa from "koa";
import { closeServer } from "../http/close_server.ts";
import { Connections } from "../http/connections.ts";
import { listenAt } from "../http/listen_at.ts";
import type { CloseReason } from "../http/types.ts";
import { ByteBudget } from "../intake/byte_budget.ts";
import { INTAKE_CONSTANTS } from "../intake/constants.ts";
import { RequestIntake } from "../intake/request_intake.ts";
import type { Endpoint } from "../settings/types.ts";
import { type RelayCall, relayCodec } from "./relay_codec.ts";
import { WatchHub } from "./watch_hub.ts";

/** Larger than any commit of a job. */
const MAX_BODY_BYTES = 16_777_216;
/** Time in which a message has to arrive whole, in ms. */
const MESSAGE_TIMEOUT_MS = 10_000;
const OK = 200;
const BAD_REQUEST = 400;
const UNAVAILABLE = 503;

/** Serves messages of peers below a path of its own, and answers them itself. */
type PathHandler = {
  readonly path: string;
  readonly handle: (
    req: IncomingMessage,
    res: ServerResponse,
    intake: RequestIntake,
  ) => Promise<void>;
};

/** What peers, and those who pretend to be, may take of this process. */
type Room = {
  readonly budget: ByteBudget;
  readonly maxConnections: number;
  readonly onClosed?: (reason: CloseReason) => void;
};

const ENDLESS_ROOM: Room = {
  budget: new ByteBudget(Number.POSITIVE_INFINITY),
  maxConnections: Number.POSITIVE_INFINITY,
};

/** Serves store calls to peers that can't reach the store themselves. */
export class RelayListener {
  readonly #store: MetadataStore;
  readonly #hub: WatchHub;
  readonly #server: Server;

  /**
   * Creates a listener; `store` must be this instance's direct connection, `hub`
   * holds what its watches have brought.
   */
  constructor(
    store: MetadataStore,
    other?: PathHandler,
    { budget, maxConnections, onClosed }: Room = ENDLESS_ROOM,
    hub: WatchHub = new WatchHub(),
  ) {
    this.#store = store;
    this.#hub = hub;
    const connections = new Connections({
      readNowMs: () => performance.now(),
      max: maxConnections,
      maxAhead: INTAKE_CONSTANTS.MAX_AHEAD_INSIDE,
      yieldOne: () => budget.yieldOne(),
      onClosed,
    });
    const app = new Koa();
    app.use(async (ctx) => {
      const { req, res } = ctx;
      const place = connections.placeCall(req);
      const intake = new RequestIntake(req, budget, {
        maxBytes: MAX_BODY_BYTES,
        isFirst: place.isFirst,
      });
      res.once("close", () => {
        intake.end();
        place.end();
      });
      intake.beginTurn();
      if (ctx.path === other?.path) {
        ctx.respond = false;
        res.statusCode = OK;
        await other.handle(req, res, intake);
        return;
      }
      if (!intake.hasRoom) {
        place.refuse();
      }
      const body = await intake.read();
      const call = body.kind === "read" ? parseCall(body.bytes) : undefined;
      if (call === undefined) {
        ctx.status = body.kind === "crowded" ? UNAVAILABLE : BAD_REQUEST;
        // What is left of the message is not read.
        ctx.set("connection", "close");
        return;
      }
      const disconnect = new AbortController();
      res.once("close", () => disconnect.abort());
      ctx.body = relayCodec.encode(
        await this.#dispatch(call, disconnect.signal),
      );
    });
    app.silent = true;
    this.#server = createServer(
      {
        requestTimeout: MESSAGE_TIMEOUT_MS,
        headersTimeout: INTAKE_CONSTANTS.HEAD_TIMEOUT_MS,
        requireHostHeader: false,
        noDelay: true,
      },
      app.callback(),
    );
    connections.watch(this.#server);
  }

  start(endpoint: Endpoint): Promise<void> {
    return listenAt(this.#server, endpoint);
  }

  stop(): void {
    closeServer(this.#server);
  }

  #dispatch(
    call: RelayCall,
    signal: AbortSignal,
  ): Promise<{ readonly kind: string } | MetadataFailure> {
    const store = this.#store;
    switch (call.kind) {
      case "read":
        return store.readKey(call.key, call.options);
      case "list":
        return store.listPage(call.prefix, call.after, call.options);
      case "watch":
        return this.#watch(call, signal);
      case "follow":
        return this.#hub.follow(call, signal);
      case "commit":
        return store.commit(call.commit);
      case "grant-lease":
        return store.grantLease(call.ttlMs);
      case "keep-lease":
        return store.renewLease(call.leaseId);
      case "end-lease":
        return store.releaseLease(call.leaseId);
      default:
        return assertNever(call);
    }
  }

  /** Asks the store, unless changes were seen here already. */
  async #watch(
    call: RelayCall & { readonly kind: "watch" },
    signal: AbortSignal,
  ): Promise<MetadataChanges> {
    const { prefix, after, waitMs } = call;
    return (
      this.#hub.recall(call) ??
      this.#store.watchPrefix(prefix, after, waitMs, signal)
    );
  }
}

/** Returns undefined for a body that does not match this version's schema. */
function parseCall(body: Buffer): RelayCall | undefined {
  try {
    return relayCodec.parseCall(relayCodec.decode(body.toString()));
  } catch {
    // Invalid JSON is treated like a call that does not match the schema.
    return undefined;
  }
}

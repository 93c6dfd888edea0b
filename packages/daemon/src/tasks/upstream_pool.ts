import { type ClientRequest, Agent as HttpAgent, request } from "node:http";
import { Agent as HttpsAgent, request as requestTls } from "node:https";
import type { Duplex } from "node:stream";
import type { AttemptOrder } from "./types.ts";

const IDLE_MS = 4_000;
const MAX_IDLE_CONNECTIONS = 512;
const OPTIONS = {
  keepAlive: true,
  maxFreeSockets: MAX_IDLE_CONNECTIONS,
  scheduling: "lifo",
  timeout: IDLE_MS,
} as const;

type Agent = HttpAgent | HttpsAgent;

/**
 * Keeps idle connections to upstreams. A connection on which bytes arrive
 * that no attempt asked for is closed, so that no attempt reads them.
 */
export class UpstreamPool {
  readonly #agents = new Map<string, Agent>();

  /**
   * Opens a request. A call that must not run twice gets a connection of its
   * own: a pooled one may be lost in a way that leaves open whether it ran.
   */
  open(order: AttemptOrder): ClientRequest {
    const { call, upstreamUrl, attemptId } = order;
    const base = new URL(upstreamUrl);
    const isTls = base.protocol === "https:";
    const options = {
      method: call.method,
      path: `${base.pathname.replace(/\/$/, "")}${call.path}`,
      host: base.hostname.replace(/^\[|\]$/g, ""),
      port: base.port,
      headers: buildHeaders(order, attemptId),
      agent:
        call.isIdempotent === false ? false : this.#find(base.origin, isTls),
    };
    return isTls ? requestTls(options) : request(options);
  }

  /** Closes the idle connections to an upstream. */
  dropIdle(upstreamUrl: string): void {
    const { origin } = new URL(upstreamUrl);
    const idle = this.#agents.get(origin)?.freeSockets ?? {};
    Object.values(idle)
      .flatMap((sockets) => [...(sockets ?? [])])
      .forEach((socket) => {
        socket.destroy();
      });
  }

  stop(): void {
    this.#agents.forEach((agent) => {
      agent.destroy();
    });
    this.#agents.clear();
  }

  #find(origin: string, isTls: boolean): Agent {
    const known = this.#agents.get(origin);
    if (known !== undefined) {
      return known;
    }
    const agent = isTls ? new HttpsAgent(OPTIONS) : new HttpAgent(OPTIONS);
    watchIdle(agent);
    this.#agents.set(origin, agent);
    return agent;
  }
}

function watchIdle(agent: Agent): void {
  const keep = agent.keepSocketAlive.bind(agent);
  const reuse = agent.reuseSocket.bind(agent);
  agent.keepSocketAlive = (socket) => {
    socket.on("data", closeUnasked);
    return keep(socket);
  };
  agent.reuseSocket = (socket, next) => {
    socket.off("data", closeUnasked);
    reuse(socket, next);
  };
}

function closeUnasked(this: Duplex): void {
  this.destroy();
}

function buildHeaders(
  { call }: AttemptOrder,
  attemptId: string,
): Record<string, string> {
  const hasBody = call.body.length > 0 || call.method === "POST";
  return {
    ...call.headers,
    "x-request-id": attemptId,
    ...(hasBody ? { "content-length": String(call.body.length) } : {}),
  };
}

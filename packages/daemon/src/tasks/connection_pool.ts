import { Agent as HttpAgent } from "node:http";
import { Agent as HttpsAgent } from "node:https";
import type { Duplex } from "node:stream";

const MAX_IDLE_CONNECTIONS = 512;
const TLS_PROTOCOL = "https:";

type Agent = HttpAgent | HttpsAgent;

/**
 * Keeps idle connections by origin. A connection on which bytes arrive that
 * no request asked for is closed, so that no request reads them.
 */
export class ConnectionPool {
  readonly #idleMs: number;
  readonly #agents = new Map<string, Agent>();

  /** Idle connections are closed after `idleMs`. */
  constructor(idleMs: number) {
    this.#idleMs = idleMs;
  }

  /** Finds the agent that holds the connections to an origin. */
  find(origin: string): Agent {
    const known = this.#agents.get(origin);
    if (known !== undefined) {
      return known;
    }
    const options = {
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_CONNECTIONS,
      scheduling: "lifo",
      timeout: this.#idleMs,
    } as const;
    const isTls = origin.startsWith(TLS_PROTOCOL);
    const agent = isTls ? new HttpsAgent(options) : new HttpAgent(options);
    watchIdle(agent);
    this.#agents.set(origin, agent);
    return agent;
  }

  /** Closes the idle connections to an origin. */
  dropIdle(origin: string): void {
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

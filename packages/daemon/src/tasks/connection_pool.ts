import { Agent as HttpAgent } from "node:http";
import { Agent as HttpsAgent } from "node:https";
import type { Duplex } from "node:stream";

const MAX_IDLE_CONNECTIONS = 512;
const TLS_PROTOCOL = "https:";

type Agent = HttpAgent | HttpsAgent;

/**
 * Pool of idle connections per origin. An idle connection that receives
 * unsolicited bytes is closed, so that no later request reads them as its
 * answer.
 */
export class ConnectionPool {
  readonly #idleTimeoutMs: number;
  readonly #agents = new Map<string, Agent>();

  /**
   * Creates a pool that closes connections after `idleTimeoutMs` without use.
   */
  constructor(idleTimeoutMs: number) {
    this.#idleTimeoutMs = idleTimeoutMs;
  }

  /**
   * Returns the agent that pools the connections to an origin; creates it on
   * first use.
   */
  find(origin: string): Agent {
    const existing = this.#agents.get(origin);
    if (existing !== undefined) {
      return existing;
    }
    const options = {
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_CONNECTIONS,
      scheduling: "lifo",
      timeout: this.#idleTimeoutMs,
    } as const;
    const isTls = origin.startsWith(TLS_PROTOCOL);
    const agent = isTls ? new HttpsAgent(options) : new HttpAgent(options);
    watchIdleConnections(agent);
    this.#agents.set(origin, agent);
    return agent;
  }

  /** Closes the idle connections to an origin, or some; returns how many. */
  closeIdle(
    origin: string,
    shouldClose: (connection: Duplex) => boolean = () => true,
  ): number {
    const idle = this.#agents.get(origin)?.freeSockets ?? {};
    const closed = Object.values(idle)
      .flatMap((sockets) => [...(sockets ?? [])])
      .filter((socket) => shouldClose(socket));
    closed.forEach((socket) => {
      socket.destroy();
    });
    return closed.length;
  }

  stop(): void {
    this.#agents.forEach((agent) => {
      agent.destroy();
    });
    this.#agents.clear();
  }
}

function watchIdleConnections(agent: Agent): void {
  const keepSocketAlive = agent.keepSocketAlive.bind(agent);
  const reuseSocket = agent.reuseSocket.bind(agent);
  agent.keepSocketAlive = (socket) => {
    socket.on("data", closeUnsolicited);
    return keepSocketAlive(socket);
  };
  agent.reuseSocket = (socket, next) => {
    socket.off("data", closeUnsolicited);
    reuseSocket(socket, next);
  };
}

function closeUnsolicited(this: Duplex): void {
  this.destroy();
}

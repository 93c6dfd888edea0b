import type { InstanceId, PeerMessage } from "@gooseberryline/core";
import type { PeerDelivery, QuestionKind } from "@gooseberryline/protocol";
import type { Gathered } from "../admin/types.ts";
import { PeerError } from "./peer_error.ts";
import { PeerLink } from "./peer_link.ts";
import type { PeerCounts, PeerCredentials } from "./types.ts";

const QUERY_TIMEOUT_MS = 2_000;
const IDLE_TIMEOUT_MS = 60_000;
const SWEEP_INTERVAL_MS = 10_000;

/** Dependencies of the task. */
export type PeerTaskParts = {
  readonly sender: Pick<PeerDelivery, "from" | "incarnation">;
  readonly credentials: PeerCredentials;
  readonly counts: PeerCounts;
  /** Returns the address of an instance as `IP:port`, if known. */
  readonly findAddress: (id: InstanceId) => string | undefined;
};

/** Manages one connection per peer and closes idle connections. */
export class PeerTask {
  readonly #parts: PeerTaskParts;
  readonly #links = new Map<string, PeerLink>();
  readonly #timer: NodeJS.Timeout;

  constructor(parts: PeerTaskParts) {
    this.#parts = parts;
    this.#timer = setInterval(() => this.#closeIdle(), SWEEP_INTERVAL_MS);
    this.#timer.unref();
  }

  get counts(): PeerCounts {
    return this.#parts.counts;
  }

  /** Sends a message; drops and counts it if it cannot be sent. */
  send(to: InstanceId, message: PeerMessage): void {
    const { counts, findAddress } = this.#parts;
    const address = findAddress(to) ?? "";
    if (address === "") {
      counts.droppedUnknown += 1;
      return;
    }
    this.#getLink(address).send(message);
  }

  /**
   * Returns the connection to an instance; throws if its address is unknown.
   */
  requireLink(to: InstanceId): PeerLink {
    const address = this.#parts.findAddress(to) ?? "";
    if (address === "") {
      const detail = "no address is known";
      throw new PeerError("unknown-peer", { step: "find", peer: to, detail });
    }
    return this.#getLink(address);
  }

  /** Queries the instance at an address, which need not be a known member. */
  queryAddress<Part>(
    address: string,
    kind: QuestionKind,
    params?: unknown,
  ): Promise<Part> {
    const reply = this.#getLink(address).query(kind, params, QUERY_TIMEOUT_MS);
    return reply as Promise<Part>;
  }

  /** Queries several instances concurrently and lists the unreachable ones. */
  async gather<Body>(
    ids: readonly InstanceId[],
    kind: QuestionKind,
    params?: unknown,
  ): Promise<Gathered<Body>> {
    const results = await Promise.all(
      ids.map(async (instanceId) => {
        try {
          const link = this.requireLink(instanceId);
          const body = await link.query(kind, params, QUERY_TIMEOUT_MS);
          return { instanceId, body: body as Body, isReached: true } as const;
        } catch {
          return { instanceId, isReached: false } as const;
        }
      }),
    );
    return {
      answers: results
        .filter((one) => one.isReached)
        .map(({ instanceId, body }) => ({ instanceId, body })),
      missing: results
        .filter((one) => !one.isReached)
        .map(({ instanceId }) => instanceId),
    };
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#links.forEach((link) => {
      link.close();
    });
    this.#links.clear();
  }

  #getLink(address: string): PeerLink {
    const known = this.#links.get(address);
    if (known !== undefined) {
      return known;
    }
    const link = new PeerLink(address, this.#parts.sender, this.#parts);
    this.#links.set(address, link);
    return link;
  }

  #closeIdle(): void {
    const idleSinceMs = Date.now() - IDLE_TIMEOUT_MS;
    [...this.#links.values()]
      .filter(({ lastUsedMs: usedMs }) => usedMs < idleSinceMs)
      .forEach((link) => {
        link.close();
        this.#links.delete(link.address);
      });
  }
}

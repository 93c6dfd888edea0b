import type { InstanceId, PeerMessage } from "@gooseberryline/core";
import type { PeerDelivery, QuestionKind } from "@gooseberryline/protocol";
import type { Gathered } from "../admin/types.ts";
import { PeerError } from "./peer_error.ts";
import { PeerLink } from "./peer_link.ts";
import type { PeerCounts, PeerCredentials } from "./types.ts";

const ASK_TIMEOUT_MS = 2_000;
const IDLE_MS = 60_000;
const SWEEP_MS = 10_000;

/** What the task needs of the rest of the daemon. */
export type PeerTaskParts = {
  readonly sender: Pick<PeerDelivery, "from" | "incarnation">;
  readonly credentials: PeerCredentials;
  readonly counts: PeerCounts;
  /** Address of an instance, `IP:port`, where it is known. */
  readonly findAddress: (id: InstanceId) => string | undefined;
};

/** Owns the connections to peers: one each, closed when long unused. */
export class PeerTask {
  readonly #parts: PeerTaskParts;
  readonly #links = new Map<string, PeerLink>();
  readonly #timer: NodeJS.Timeout;

  constructor(parts: PeerTaskParts) {
    this.#parts = parts;
    this.#timer = setInterval(() => this.#closeIdle(), SWEEP_MS);
    this.#timer.unref();
  }

  get counts(): PeerCounts {
    return this.#parts.counts;
  }

  /** Sends a message; one that can't be sent is dropped and counted. */
  send(to: InstanceId, message: PeerMessage): void {
    const { counts, findAddress } = this.#parts;
    const address = findAddress(to) ?? "";
    if (address === "") {
      counts.droppedUnknown += 1;
      return;
    }
    this.#link(address).send(message);
  }

  /** The connection to an instance; throws where no address is known. */
  requireLink(to: InstanceId): PeerLink {
    const address = this.#parts.findAddress(to) ?? "";
    if (address === "") {
      const detail = "no address is known";
      throw new PeerError("unknown-peer", { step: "find", peer: to, detail });
    }
    return this.#link(address);
  }

  /** Asks the instance at an address, known or not. */
  askAddress<Part>(
    address: string,
    kind: QuestionKind,
    params?: unknown,
  ): Promise<Part> {
    const asked = this.#link(address).ask(kind, params, ASK_TIMEOUT_MS);
    return asked as Promise<Part>;
  }

  /** Asks several instances at once and names those not reached. */
  async gather<Body>(
    ids: readonly InstanceId[],
    kind: QuestionKind,
    params?: unknown,
  ): Promise<Gathered<Body>> {
    const asked = await Promise.all(
      ids.map(async (instanceId) => {
        try {
          const link = this.requireLink(instanceId);
          const body = await link.ask(kind, params, ASK_TIMEOUT_MS);
          return { instanceId, body: body as Body, isReached: true } as const;
        } catch {
          return { instanceId, isReached: false } as const;
        }
      }),
    );
    return {
      answers: asked
        .filter((one) => one.isReached)
        .map(({ instanceId, body }) => ({ instanceId, body })),
      missing: asked
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

  #link(address: string): PeerLink {
    const known = this.#links.get(address);
    if (known !== undefined) {
      return known;
    }
    const link = new PeerLink(address, this.#parts.sender, this.#parts);
    this.#links.set(address, link);
    return link;
  }

  #closeIdle(): void {
    const idleMs = Date.now() - IDLE_MS;
    [...this.#links.values()]
      .filter(({ usedMs }) => usedMs < idleMs)
      .forEach((link) => {
        link.close();
        this.#links.delete(link.address);
      });
  }
}

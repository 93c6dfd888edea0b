import { Agent } from "node:http";
import type {
  FleetMember,
  MetadataFailure,
  MetadataStore,
} from "@gooseberryline/core";
import { type Got, got } from "got";
import { type RelayCall, relayCodec } from "./relay_codec.ts";

/** Delay before the store is tried directly again, in ms. */
const DIRECT_RETRY_DELAY_MS = 1_000;
const CALL_TIMEOUT_MS = 2_000;
/** Extra timeout of a watch beyond its own wait, in ms. */
const WATCH_SLACK_MS = 1_000;

type RelayParts = {
  /** This instance's direct connection to the store. */
  readonly direct: MetadataStore;
  /** Returns a peer that reports a connection to the store, if any. */
  readonly choosePeer: () => FleetMember | undefined;
  readonly readNowMs: () => number;
  /** Called with whether the store answered this instance directly. */
  readonly onDirectContact: (isReached: boolean) => void;
};

type StoreAnswer = { readonly kind: string };

/**
 * Relays store calls through a peer while the store refuses this instance or is
 * unreachable from it. A commit with an unknown outcome is never retried here:
 * its caller decides.
 */
export class RelayedStore {
  readonly #parts: RelayParts;
  readonly #client: Got;
  #directFromMs = Number.NEGATIVE_INFINITY;

  constructor(parts: RelayParts) {
    this.#parts = parts;
    this.#client = got.extend({
      retry: { limit: 0 },
      agent: { http: new Agent({ keepAlive: true, scheduling: "lifo" }) },
    });
  }

  /** Builds a store client that falls back to the relay. */
  build(): MetadataStore {
    const { direct } = this.#parts;
    return {
      readKey: (key, options) =>
        this.#send(() => direct.readKey(key, options), {
          kind: "read",
          key,
          options,
        }),
      listPage: (prefix, after, options) =>
        this.#send(() => direct.listPage(prefix, after, options), {
          kind: "list",
          prefix,
          after,
          options,
        }),
      watchPrefix: (prefix, after, waitMs, signal) =>
        this.#send(
          () => direct.watchPrefix(prefix, after, waitMs, signal),
          { kind: "watch", prefix, after, waitMs },
          signal,
        ),
      commit: (commit) =>
        this.#send(() => direct.commit(commit), { kind: "commit", commit }),
      grantLease: (ttlMs) =>
        this.#send(() => direct.grantLease(ttlMs), {
          kind: "grant-lease",
          ttlMs,
        }),
      renewLease: (leaseId) =>
        this.#send(() => direct.renewLease(leaseId), {
          kind: "keep-lease",
          leaseId,
        }),
      releaseLease: (leaseId) =>
        this.#send(() => direct.releaseLease(leaseId), {
          kind: "end-lease",
          leaseId,
        }),
    };
  }

  async #send<Result extends StoreAnswer>(
    sendDirect: () => Promise<Result>,
    call: RelayCall,
    signal?: AbortSignal,
  ): Promise<Result | MetadataFailure> {
    const { choosePeer, readNowMs } = this.#parts;
    const peer = choosePeer();
    if (peer !== undefined && readNowMs() < this.#directFromMs) {
      return this.#relay<Result>(peer, call, signal);
    }
    const answer = await sendDirect();
    if (signal?.aborted === true) {
      return answer;
    }
    this.#recordDirect(answer.kind !== "failed");
    const isRetryable = canRetry(call, answer);
    return answer.kind === "failed" && isRetryable && peer !== undefined
      ? this.#relay<Result>(peer, call, signal)
      : answer;
  }

  #recordDirect(isReached: boolean): void {
    const { readNowMs, onDirectContact } = this.#parts;
    this.#directFromMs = isReached
      ? Number.NEGATIVE_INFINITY
      : readNowMs() + DIRECT_RETRY_DELAY_MS;
    onDirectContact(isReached);
  }

  async #relay<Result extends StoreAnswer>(
    { address, relayPort }: FleetMember,
    call: RelayCall,
    signal?: AbortSignal,
  ): Promise<Result | MetadataFailure> {
    const waitMs = call.kind === "watch" ? call.waitMs + WATCH_SLACK_MS : 0;
    try {
      const text = await this.#client
        .post(`http://${address}:${relayPort}/`, {
          body: relayCodec.encode(call),
          timeout: { request: CALL_TIMEOUT_MS + waitMs },
          ...(signal === undefined ? {} : { signal }),
        })
        .text();
      // Peers run the same program, so the answer matches the call's type.
      return relayCodec.decode(text) as Result;
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return { kind: "failed", isUndone: false, step: call.kind, reason };
    }
  }
}

/**
 * Returns whether a failed call may be retried through a peer. A watch is
 * restarted by its caller, since part of its wait has passed.
 */
function canRetry(call: RelayCall, answer: StoreAnswer): boolean {
  switch (call.kind) {
    case "watch":
      return false;
    case "commit":
      return "isUndone" in answer && answer.isUndone === true;
    default:
      return true;
  }
}

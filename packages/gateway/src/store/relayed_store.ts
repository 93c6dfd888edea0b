import {
  chooseStorePath,
  type DirectPath,
  type EventLog,
  type FleetMember,
  type MetadataChanges,
  type MetadataFailure,
  type MetadataStore,
  recordDirectCall,
  recordProbe,
  STORE_PATHS,
} from "@gooseberryline/core";
import type { RelayClient } from "./relay_client.ts";
import type { RelayCall } from "./relay_codec.ts";
import { WATCH_ABORTS } from "./watch_aborts.ts";

type RelayParts = {
  /** This instance's direct connection to the store. */
  readonly direct: MetadataStore;
  /**
   * Returns a peer that reports a connection to the store, if any; `avoidedId`
   * only if there is no other.
   */
  readonly choosePeer: (avoidedId?: string) => FleetMember | undefined;
  /** The same, preferring peers that have seen a change after a revision. */
  readonly chooseInformedPeer: (
    prefix: string,
    after: number,
    avoidedId?: string,
  ) => FleetMember | undefined;
  readonly relay: Pick<RelayClient, "send">;
  readonly readNowMs: () => number;
  /** Called with whether the store answered this instance directly. */
  readonly onDirectContact: (isReached: boolean) => void;
  readonly log: EventLog;
};

type StoreAnswer = { readonly kind: string };

/**
 * Relays store calls through a peer while the store refuses this instance or is
 * unreachable from it. A commit with an unknown outcome is never retried here:
 * its caller decides.
 */
export class RelayedStore {
  readonly #parts: RelayParts;
  #path: DirectPath = STORE_PATHS.SOUND;
  /** The peer through which the last call failed, or brought no news in time. */
  #avoidedPeerId: string | undefined;

  constructor(parts: RelayParts) {
    this.#parts = parts;
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

  /**
   * Builds a client that asks for changes by way of a peer that has seen them,
   * whatever is known of the direct path; directly, by a call of its own, if there
   * is no peer.
   */
  buildDetour(): Pick<MetadataStore, "watchPrefix"> {
    const { direct, chooseInformedPeer } = this.#parts;
    return {
      watchPrefix: (prefix, after, waitMs, signal) => {
        const peer = chooseInformedPeer(prefix, after, this.#avoidedPeerId);
        const call = { kind: "watch", prefix, after, waitMs } as const;
        return peer === undefined
          ? direct.watchPrefix(prefix, after, waitMs, signal)
          : this.#relay<MetadataChanges>(peer, call, signal);
      },
    };
  }

  async #send<Result extends StoreAnswer>(
    sendDirect: () => Promise<Result>,
    call: RelayCall,
    signal?: AbortSignal,
  ): Promise<Result | MetadataFailure> {
    const { choosePeer, readNowMs } = this.#parts;
    const peer = choosePeer(this.#avoidedPeerId);
    const facts = {
      isProbeable: isProbeable(call),
      hasPeer: peer !== undefined,
    };
    const choice = chooseStorePath(this.#path, facts, readNowMs());
    if (choice.kind === "peer" && peer !== undefined) {
      if (choice.isProbe) {
        void this.#probe(sendDirect);
      }
      return this.#relay<Result>(peer, call, signal);
    }
    const answer = await sendDirect();
    if (signal?.aborted === true) {
      this.#recordAbort(signal);
      return answer;
    }
    this.#recordDirect(answer);
    return answer.kind === "failed" && canRetry(call, answer) && peer
      ? this.#relay<Result>(peer, call, signal)
      : answer;
  }

  /** Sends a call that a peer makes as well, to see if the store answers it. */
  async #probe(sendDirect: () => Promise<StoreAnswer>): Promise<void> {
    this.#path = recordProbe(this.#path, this.#parts.readNowMs());
    this.#recordDirect(await sendDirect());
  }

  /** A watch that peers' news overtook has hung, as a call without an answer. */
  #recordAbort(signal: AbortSignal): void {
    if (signal.reason === WATCH_ABORTS.behind) {
      this.#setReached(false, "a watch is behind the peers");
    }
  }

  #recordDirect(answer: StoreAnswer): void {
    const reason = "reason" in answer ? String(answer.reason) : "";
    this.#setReached(answer.kind !== "failed", reason);
  }

  #setReached(isReached: boolean, reason: string): void {
    const { readNowMs, onDirectContact, log } = this.#parts;
    const before = this.#path;
    this.#path = recordDirectCall(before, isReached, readNowMs());
    if (before.kind !== this.#path.kind) {
      log.info("store-path", { isDirect: isReached, reason });
    }
    onDirectContact(isReached);
  }

  async #relay<Result extends StoreAnswer>(
    peer: FleetMember,
    call: RelayCall,
    signal?: AbortSignal,
  ): Promise<Result | MetadataFailure> {
    // Peers run the same program, so the answer matches the call's type.
    const answer = (await this.#parts.relay.send(peer, call, signal)) as
      | Result
      | MetadataFailure;
    this.#avoidedPeerId = answer.kind === "failed" ? peer.id : undefined;
    return answer;
  }
}

/**
 * Returns whether a call may be executed twice. A watch isn't sent as a probe: it
 * says nothing while there is no change.
 */
function isProbeable({ kind }: RelayCall): boolean {
  return kind === "read" || kind === "list" || kind === "keep-lease";
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

import {
  drawRandom,
  type FleetMember,
  type MetadataStore,
} from "@gooseberryline/core";
import { vi } from "vitest";
import { computeGossipIntervalMs } from "../fleet/compute_gossip_interval_ms.ts";
import { PrefixWatch } from "../store/prefix_watch.ts";
import type { RelayCall } from "../store/relay_codec.ts";
import { RelayedStore } from "../store/relayed_store.ts";
import { createTroubledStore } from "./create_troubled_store.ts";
import { PlayedRecord } from "./played_record.ts";
import { SILENT_LOG } from "./silent_log.ts";
import type { StoreTrouble, StoreTroublePlay } from "./types.ts";

const LEASE_INTERVAL_MS = 1_000;

/** Time after the last change in which the instances may still receive it. */
const SETTLE_MS = 5_000;

/** Time before the trouble in which the instances read the record, in ms. */
const QUIET_MS = 5_000;

/**
 * Plays changes of a record in virtual time; returns the longest time until an
 * instance had a change or a later one, in ms.
 */
export async function simulateStoreTrouble(
  play: StoreTroublePlay,
): Promise<number> {
  vi.useFakeTimers();
  const record = new PlayedRecord();
  const fleet = Array.from({ length: play.instances }, (_, index) =>
    startInstance(index, play, record),
  );
  const timers = fleet.flatMap((instance) => instance.start(fleet));
  const troubled = fleet.slice(play.sound);
  const setTrouble = (trouble?: StoreTrouble): void => {
    troubled.forEach((instance) => {
      instance.setTrouble(trouble);
    });
  };
  const startMs = performance.now() + QUIET_MS;
  setTimeout(() => setTrouble(play.trouble), QUIET_MS);
  setTimeout(() => setTrouble(), QUIET_MS + play.troubleMs);
  play.changesAtMs.forEach((atMs) => {
    setTimeout(() => record.write(), QUIET_MS + atMs);
  });
  const lastMs = Math.max(play.troubleMs, ...play.changesAtMs);
  await vi.advanceTimersByTimeAsync(QUIET_MS + lastMs + SETTLE_MS);
  fleet.forEach(({ watch }) => {
    watch.stop();
  });
  timers.forEach((timer) => {
    clearInterval(timer);
  });
  vi.useRealTimers();
  return Math.max(
    ...play.changesAtMs.flatMap((atMs, index) =>
      fleet.map(({ seen }) => findFirst(seen, index + 1) - startMs - atMs),
    ),
  );
}

/** Returns when an instance first had a revision or a later one, in ms. */
function findFirst(seen: ReadonlyMap<number, number>, revision: number) {
  const times = [...seen].filter(([own]) => own >= revision);
  return Math.min(Number.POSITIVE_INFINITY, ...times.map(([, atMs]) => atMs));
}

type PlayedInstance = {
  readonly id: string;
  readonly watch: PrefixWatch;
  /** When each revision was reported, in ms. */
  readonly seen: Map<number, number>;
  readonly isReached: () => boolean;
  readonly callStore: (
    call: RelayCall,
    signal?: AbortSignal,
  ) => Promise<unknown>;
  readonly setTrouble: (trouble?: StoreTrouble) => void;
  readonly start: (
    fleet: readonly PlayedInstance[],
  ) => readonly NodeJS.Timeout[];
};

function startInstance(
  index: number,
  play: StoreTroublePlay,
  record: PlayedRecord,
): PlayedInstance {
  const state = {
    trouble: undefined as StoreTrouble | undefined,
    isReached: true,
    draws: 0,
  };
  const direct = createTroubledStore(record, state);
  const seen = new Map<number, number>();
  const peers: PlayedInstance[] = [];
  const choose = (
    candidates: readonly PlayedInstance[],
    avoidedId: string | undefined,
  ): FleetMember | undefined => {
    const usable = candidates.filter(
      (peer) => peer.id !== avoidedId && peer.isReached(),
    );
    state.draws += 1;
    const random = drawRandom(index * 10_000 + state.draws).value;
    const chosen = usable[Math.floor(random * usable.length)];
    return chosen === undefined ? undefined : toMember(chosen.id);
  };
  const relay = new RelayedStore({
    direct,
    choosePeer: (avoidedId) => choose(peers, avoidedId),
    chooseInformedPeer: (_, after, avoidedId) =>
      choose(
        peers.filter(({ watch: { seen: revision } }) => revision > after),
        avoidedId,
      ),
    relay: {
      send: async ({ id }, call, signal) =>
        peers.find((peer) => peer.id === id)?.callStore(call, signal),
    },
    readNowMs: () => performance.now(),
    onDirectContact: (isReached) => {
      state.isReached = isReached;
    },
    log: SILENT_LOG,
  });
  const relayed = relay.build();
  const watch = new PrefixWatch({
    store: relayed,
    detour: relay.buildDetour(),
    prefix: "a/",
    log: SILENT_LOG,
    getWatchRank: () => ({ rank: index, count: play.instances }),
    onEvent: (event) => {
      if (event.kind === "set") {
        seen.set(event.item.revision, performance.now());
      }
    },
  });
  const renewLease = (): void => void relayed.renewLease("none");
  const sendLoad = (): void => {
    peers.forEach((peer) => {
      peer.watch.handlePeerRevision(watch.seen);
    });
  };
  return {
    id: `i${index}`,
    watch,
    seen,
    isReached: () => state.isReached,
    callStore: (call, signal) => dispatchCall(direct, call, signal),
    setTrouble: (trouble) => {
      state.trouble = trouble;
    },
    start: (fleet) => {
      peers.push(...fleet.filter(({ id }) => id !== `i${index}`));
      watch.start();
      const intervalMs = computeGossipIntervalMs(play.instances);
      return [
        setInterval(sendLoad, intervalMs),
        ...(play.hasLeases ? [setInterval(renewLease, LEASE_INTERVAL_MS)] : []),
      ];
    },
  };
}

async function dispatchCall(
  store: MetadataStore,
  call: RelayCall,
  signal?: AbortSignal,
): Promise<unknown> {
  switch (call.kind) {
    case "list":
      return store.listPage(call.prefix, call.after);
    case "watch":
      return store.watchPrefix(call.prefix, call.after, call.waitMs, signal);
    case "keep-lease":
      return store.renewLease(call.leaseId);
    default:
      throw new Error(`no such call in this play: ${call.kind}`);
  }
}

function toMember(id: string): FleetMember {
  return {
    id,
    incarnation: "1",
    address: "127.0.0.1",
    port: 0,
    relayPort: 0,
    dataCentre: "a",
    duty: "serve",
  };
}

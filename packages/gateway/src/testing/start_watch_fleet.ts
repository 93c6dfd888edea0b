import { setMaxListeners } from "node:events";
import type {
  FleetMember,
  MetadataFailure,
  MetadataStore,
} from "@gooseberryline/core";
import { createMetadata, type FakeMetadata } from "@gooseberryline/fakes";
import { computeGossipIntervalMs } from "../fleet/compute_gossip_interval_ms.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { WatchSharing } from "../fleet/watch_sharing.ts";
import { countStoreCalls } from "../store/count_store_calls.ts";
import { PrefixWatch } from "../store/prefix_watch.ts";
import type { RelayCall } from "../store/relay_codec.ts";
import { RelayedStore } from "../store/relayed_store.ts";
import { createMutedStore } from "./create_muted_store.ts";
import { createView } from "./create_view.ts";
import { SILENT_LOG } from "./silent_log.ts";
import type { WatcherTrouble } from "./types.ts";

type FleetPlay = {
  readonly instances: number;
  readonly dataCentres: number;
  readonly isShared: boolean;
  readonly minIntervalMs?: number;
};

export type PlayedWatcher = {
  readonly id: string;
  readonly watch: PrefixWatch;
  /** When each revision was reported, in ms. */
  readonly seen: ReadonlyMap<number, number>;
  /** Current values by key. */
  readonly records: ReadonlyMap<string, string>;
  /** Whether it asks the store itself. */
  readonly isWatcher: () => boolean;
  readonly isGone: () => boolean;
  readonly setTrouble: (trouble?: WatcherTrouble) => void;
};

export type WatchFleet = {
  readonly metadata: FakeMetadata;
  readonly instances: readonly PlayedWatcher[];
  /** Counts the calls of all instances that match, such as "watch a". */
  readonly countCalls: (name?: string) => number;
  readonly stop: () => void;
};

const PREFIX = "a/";
const LEASE_INTERVAL_MS = 1_000;

/** Starts instances that follow one prefix, in virtual time. */
export function startWatchFleet(play: FleetPlay): WatchFleet {
  const metadata = createMetadata();
  const calls = new Map<string, number>();
  const fleet: StartedInstance[] = [];
  const store = countStoreCalls(metadata.store, ({ call, records }) => {
    const name = `${call} ${records}`;
    calls.set(name, (calls.get(name) ?? 0) + 1);
  });
  fleet.push(
    ...Array.from({ length: play.instances }, (_, index) =>
      startInstance(index, play, store, fleet),
    ),
  );
  const members = fleet.map(({ member }) => member);
  const timers = fleet.flatMap((instance) => instance.start(members));
  return {
    metadata,
    instances: fleet,
    countCalls: (name) =>
      [...calls]
        .filter(([known]) => name === undefined || known === name)
        .reduce((sum, [, count]) => sum + count, 0),
    stop: () => {
      timers.forEach((timer) => {
        clearInterval(timer);
      });
      fleet.forEach(({ watch }) => {
        watch.stop();
      });
    },
  };
}

type StartedInstance = PlayedWatcher & {
  readonly member: FleetMember;
  readonly view: FleetView;
  readonly answer: (call: RelayCall, signal?: AbortSignal) => Promise<unknown>;
  readonly start: (
    members: readonly FleetMember[],
  ) => readonly NodeJS.Timeout[];
};

function startInstance(
  index: number,
  play: FleetPlay,
  metadata: MetadataStore,
  fleet: readonly StartedInstance[],
): StartedInstance {
  const id = `i${String(index).padStart(3, "0")}`;
  const dataCentre = `dc${index % play.dataCentres}`;
  const view = createView("serve", { instanceId: id, dataCentre });
  const trouble = { kind: undefined as WatcherTrouble | undefined };
  const isGone = (): boolean =>
    trouble.kind === "killed" || trouble.kind === "frozen";
  const changed = new EventTarget();
  setMaxListeners(0, changed);
  const direct = createMutedStore(metadata, () => trouble.kind);
  const relay = {
    send: async (
      { id: peerId }: { readonly id: string },
      call: RelayCall,
      signal?: AbortSignal,
    ): Promise<unknown> =>
      fleet.find((peer) => peer.id === peerId)?.answer(call, signal),
  };
  const relayed = new RelayedStore({
    direct,
    choosePeer: (avoidedId) => view.storeRelays.choose(avoidedId),
    chooseInformedPeer: (...args) => view.storeRelays.chooseInformed(...args),
    relay,
    readNowMs: () => performance.now(),
    onDirectContact: (isReached) => {
      view.hasStore = isReached;
    },
    log: SILENT_LOG,
  });
  const store = relayed.build();
  const ignore = (): void => undefined;
  const sharing = new WatchSharing({
    ...{ view, store, relay, onContact: ignore, log: SILENT_LOG },
  });
  const shared = play.isShared ? sharing.share(PREFIX, undefined) : undefined;
  const seen = new Map<number, number>();
  const records = new Map<string, string>();
  const watch = new PrefixWatch({
    store,
    detour: relayed.buildDetour(),
    prefix: PREFIX,
    log: SILENT_LOG,
    shared: shared?.watch,
    minIntervalMs: play.minIntervalMs ?? 0,
    getWatchRank: () => shared?.getRank() ?? view.getRank(),
    onEvent: (event) => {
      if (event.kind === "set") {
        seen.set(event.item.revision, performance.now());
        records.set(event.item.key, event.item.value.toString());
      } else {
        seen.set(event.revision, performance.now());
        records.delete(event.key);
      }
    },
  });
  view.readWatchRevisions = () => ({ [PREFIX]: watch.seen });
  view.onPeerWatchRevisions = (revisions) =>
    watch.handlePeerRevision(revisions[PREFIX] ?? 0);
  const member = {
    id,
    incarnation: "1",
    address: "127.0.0.1",
    port: index,
    relayPort: index,
    dataCentre,
    duty: "serve",
  } as const;
  const answer = async (
    call: RelayCall,
    signal = new AbortController().signal,
  ): Promise<unknown> => {
    const lost = waitForEnd(changed, signal);
    if (trouble.kind === "killed") {
      return fail(call.kind);
    }
    if (trouble.kind === "frozen") {
      return lost;
    }
    const result = dispatchCall(call, signal, trouble.kind);
    const told = result.then((value) => (isGone() ? lost : value));
    return Promise.race([told, lost]);
  };
  const dispatchCall = async (
    call: RelayCall,
    signal: AbortSignal,
    kind: WatcherTrouble | undefined,
  ): Promise<unknown> => {
    switch (call.kind) {
      case "follow":
        return kind === "old"
          ? fail("follow")
          : sharing.hub.follow(call, signal);
      case "watch": {
        const { prefix, after, waitMs: wait } = call;
        const known = play.isShared ? sharing.hub.recall(call) : undefined;
        return known ?? direct.watchPrefix(prefix, after, wait, signal);
      }
      case "list":
        return direct.listPage(call.prefix, call.after);
      case "keep-lease":
        return direct.renewLease(call.leaseId);
      default:
        throw new Error(`no such call in this play: ${call.kind}`);
    }
  };
  const sendLoad = (): void => {
    if (isGone()) {
      return;
    }
    const message = view.buildMessage(false);
    fleet
      .filter((peer) => peer.id !== id && !peer.isGone())
      .forEach((peer) => {
        peer.view.handleMessage(message, true);
      });
  };
  return {
    id,
    member,
    view,
    watch,
    seen,
    records,
    isGone,
    answer,
    isWatcher: () => shared?.watch.isFollowing !== true,
    setTrouble: (kind?: WatcherTrouble) => {
      trouble.kind = kind;
      changed.dispatchEvent(new Event(kind ?? "well"));
      if (kind === "killed") {
        watch.stop();
      }
    },
    start: (members) => {
      members.forEach((known) => {
        view.members.set(known);
      });
      watch.start();
      const renewLease = (): void => void store.renewLease("none");
      return [
        setInterval(sendLoad, computeGossipIntervalMs(play.instances)),
        setInterval(renewLease, LEASE_INTERVAL_MS),
      ];
    },
  };
}

/** Resolves to a failure when the peer is killed or the caller gives up. */
function waitForEnd(changed: EventTarget, signal: AbortSignal) {
  return new Promise<MetadataFailure>((resolve) => {
    const finish = (): void => resolve(fail("follow"));
    changed.addEventListener("killed", finish, { once: true, signal });
    signal.addEventListener("abort", finish, { once: true });
  });
}

function fail(step: string): MetadataFailure {
  return { kind: "failed", isUndone: false, step, reason: "played" };
}

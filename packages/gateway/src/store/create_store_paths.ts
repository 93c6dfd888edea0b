import type { EventLog, MetadataStore } from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import { WatchSharing } from "../fleet/watch_sharing.ts";
import type { ConfigFreshness } from "../refusals/config_freshness.ts";
import { countStoreCalls, type StoreCall } from "./count_store_calls.ts";
import { RelayClient } from "./relay_client.ts";
import { RelayedStore } from "./relayed_store.ts";
import { reportStoreContact } from "./report_store_contact.ts";
import { StoreCallLog } from "./store_call_log.ts";

type StorePathsParts = {
  readonly view: FleetView;
  /** This instance's own connection to the store. */
  readonly direct: MetadataStore;
  readonly freshness: ConfigFreshness;
  readonly log: EventLog;
  /** Called with each call that this instance makes itself. */
  readonly onCall: (call: StoreCall) => void;
};

/**
 * Creates the ways to the metadata store: `direct`, with its calls counted; `store`,
 * by way of a peer where that fails; `detour`, by way of a peer that has what this
 * instance lacks; and the watches that are shared with peers.
 */
export function createStorePaths(parts: StorePathsParts) {
  const { view, freshness, log, onCall } = parts;
  const callLog = new StoreCallLog(log);
  const direct = countStoreCalls(parts.direct, (call) => {
    onCall(call);
    callLog.recordCall(call);
  });
  const relay = new RelayClient();
  const relayed = new RelayedStore({
    direct,
    choosePeer: (avoidedId) => view.storeRelays.choose(avoidedId),
    chooseInformedPeer: (prefix, after, avoidedId) =>
      view.storeRelays.chooseInformed(prefix, after, avoidedId),
    relay,
    log,
    readNowMs: () => view.readNowMs(),
    onDirectContact: (isReached) => {
      view.hasStore = isReached;
    },
  });
  const onContact = (isReached: boolean): void => {
    view.directory.recordStoreContact(isReached, view.readNowMs());
    freshness.recordStoreContact(isReached);
  };
  const store = reportStoreContact(relayed.build(), onContact);
  const sharing = new WatchSharing({ view, store, relay, onContact, log });
  return { direct, store, detour: relayed.buildDetour(), sharing, callLog };
}

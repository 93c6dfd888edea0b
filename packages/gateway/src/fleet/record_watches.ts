import {
  assertNever,
  batchKeys,
  DUTIES,
  type Duty,
  type EventLog,
  getEventKey,
  listDropped,
  type MetadataEvent,
  type MetadataItem,
  type MetadataStore,
} from "@gooseberryline/core";
import type { BlockKeeper } from "../crashes/block_keeper.ts";
import { blockRecord } from "../crashes/block_record.ts";
import type { RecordDialect } from "../dialect/types.ts";
import type { ConfigFreshness } from "../refusals/config_freshness.ts";
import type { RolloutKeeper } from "../rollouts/rollout_keeper.ts";
import { rolloutRecord } from "../rollouts/rollout_record.ts";
import { WATCH_TIMING } from "../store/constants.ts";
import { PrefixWatch } from "../store/prefix_watch.ts";
import { historyRecord } from "../streams/history_record.ts";
import type { VersionKeeper } from "../streams/version_keeper.ts";
import { closeGone } from "./close_gone.ts";
import type { FleetView } from "./fleet_view.ts";
import { memberRecord } from "./member_record.ts";
import type { WatchSharing } from "./watch_sharing.ts";

type RecordWatchesParts = {
  readonly view: FleetView;
  readonly store: MetadataStore;
  readonly detour: Pick<MetadataStore, "watchPrefix">;
  /** Lets peers share watches; each instance has its own by default. */
  readonly sharing?: WatchSharing | undefined;
  readonly dialect: RecordDialect;
  readonly log: EventLog;
  readonly blocks: BlockKeeper;
  readonly versions: VersionKeeper;
  readonly rollouts: Pick<
    RolloutKeeper,
    "handleOrderEvent" | "handleRecordEvent"
  >;
  readonly freshness: ConfigFreshness;
  /** Called with an address at which no upstream is known any more. */
  readonly onAddressLeft: (address: string) => void;
  /** Called with the keys and routes that the new configuration lacks. */
  readonly onConfig: (dropped: readonly string[]) => void;
  /** Called with each change of a job's claim; undefined if none are run here. */
  readonly onClaimEvent: ((event: MetadataEvent) => void) | undefined;
  /**
   * Called when this instance is to hand over its jobs, or no longer has to.
   */
  readonly onRetiredChange: (isRetired: boolean) => void;
};

/**
 * Watches all records in the store that this instance follows, those of operators,
 * upstreams, instances and jobs' claims, and compares each watch with what peers
 * have seen.
 */
export class RecordWatches {
  readonly #parts: RecordWatchesParts;
  readonly #watches: readonly PrefixWatch[];
  /** The watch of operators' records, the configuration among them. */
  readonly operators: PrefixWatch;
  /** Latest change that this instance itself made under each prefix. */
  readonly #changed = new Map<string, number>();

  constructor(parts: RecordWatchesParts) {
    this.#parts = parts;
    const { dialect, onClaimEvent } = parts;
    this.operators = this.#watch(dialect.operatorPrefix, (event) =>
      this.#handleOperatorEvent(event),
    );
    this.#watches = [
      this.operators,
      this.#watch(
        dialect.upstreamPrefix,
        (event) => {
          this.#handleUpstreamEvent(event);
          this.#parts.versions.review();
        },
        { minIntervalMs: WATCH_TIMING.UPSTREAMS_INTERVAL_MS },
      ),
      this.#watch(
        memberRecord.prefix,
        (event) => this.#handleMemberEvent(event),
        { minIntervalMs: WATCH_TIMING.INSTANCES_INTERVAL_MS },
      ),
      ...(onClaimEvent === undefined
        ? []
        : [
            this.#watch(batchKeys.claimPrefix, onClaimEvent, {
              minIntervalMs: WATCH_TIMING.CLAIMS_INTERVAL_MS,
              watchers: DUTIES.run,
            }),
          ]),
    ];
  }

  /** Starts the watches; resolves once each prefix has been read completely. */
  async start(): Promise<void> {
    this.#watches.forEach((watch) => {
      watch.start();
    });
    await Promise.all(this.#watches.map(({ loaded }) => loaded));
  }

  /** Lists the latest store revision seen under each prefix, for peers. */
  listRevisions(): Readonly<Record<string, number>> {
    return Object.fromEntries([
      ...this.#changed,
      ...this.#watches.map(({ prefix, seen }) => [
        prefix,
        Math.max(seen, this.#changed.get(prefix) ?? 0),
      ]),
    ]);
  }

  /** Records a change that this instance made, so that peers compare with it. */
  recordChange(prefix: string, revision: number): void {
    const known = this.#changed.get(prefix) ?? 0;
    this.#changed.set(prefix, Math.max(known, revision));
  }

  /**
   * Records the latest store revision that a peer has seen under each prefix.
   */
  recordPeerRevisions(revisions: Readonly<Record<string, number>>): void {
    const { freshness, dialect } = this.#parts;
    freshness.recordPeerRevision(revisions[dialect.operatorPrefix] ?? 0);
    this.#watches.forEach((watch) => {
      watch.handlePeerRevision(revisions[watch.prefix] ?? 0);
    });
  }

  /** Asks for changes of the configuration, which others are known to have. */
  requestConfig(): void {
    this.operators.requestChanges();
  }

  stop(): void {
    this.#watches.forEach((watch) => {
      watch.stop();
    });
  }

  #watch(
    prefix: string,
    onEvent: (event: MetadataEvent) => void,
    options: { readonly minIntervalMs?: number; readonly watchers?: Duty } = {},
  ): PrefixWatch {
    const { store, detour, log, view } = this.#parts;
    const { minIntervalMs = 0, watchers } = options;
    const shared = this.#parts.sharing?.share(prefix, watchers);
    return new PrefixWatch({
      store,
      detour,
      prefix,
      log,
      onEvent,
      shared: shared?.watch,
      getWatchRank: () => shared?.getRank() ?? view.getRank(watchers),
      minIntervalMs,
    });
  }

  #handleOperatorEvent(event: MetadataEvent): void {
    const { dialect, view, onRetiredChange, log } = this.#parts;
    const isSet = event.kind === "set";
    const key = getEventKey(event);
    const record = dialect.parseOperatorKey(key);
    switch (record.kind) {
      case "config":
        if (isSet) {
          this.#adoptConfig(event.item);
        }
        return;
      case "data-centre-out":
        log.info("data-centre", {
          dataCentre: record.dataCentre,
          isOut: isSet,
        });
        if (isSet) {
          view.directory.evacuateDataCentre(record.dataCentre);
        } else {
          view.directory.admitDataCentre(record.dataCentre);
        }
        return;
      case "instance-retired":
        if (record.instanceId === view.settings.instanceId) {
          onRetiredChange(isSet);
        }
        return;
      case "rollout":
        this.#parts.rollouts.handleOrderEvent(record.service, event);
        return;
      case "unknown":
        log.warn("operator-record-unknown", { key });
        return;
      default:
        assertNever(record);
    }
  }

  #adoptConfig({ value, revision }: MetadataItem): void {
    const { dialect, view, log, freshness, onConfig } = this.#parts;
    const config = dialect.parseConfig(value);
    freshness.recordRead(config.kind === "decoded");
    if (config.kind === "unreadable") {
      log.error("config-unreadable", { revision, reason: config.reason });
      return;
    }
    const before = view.table;
    if (view.adoptConfig(config.value)) {
      log.info("config-adopted", {
        revision: config.value.revision,
        routes: config.value.routes.length,
        access: config.value.access.kind,
        customers: view.table?.customers.size,
      });
      freshness.recordAdopted();
      onConfig(view.table === undefined ? [] : listDropped(before, view.table));
    }
  }

  #handleUpstreamEvent(event: MetadataEvent): void {
    const { dialect, view, onAddressLeft } = this.#parts;
    const id = getEventKey(event).slice(dialect.upstreamPrefix.length);
    const before = view.directory.find(id);
    this.#adoptUpstream(event);
    closeGone(view.directory, before, onAddressLeft);
  }

  #adoptUpstream(event: MetadataEvent): void {
    const { dialect, view, log } = this.#parts;
    const { directory } = view;
    const nowMs = view.readNowMs();
    const key = getEventKey(event);
    const id = key.slice(dialect.upstreamPrefix.length);
    if (event.kind === "removed") {
      log.info("upstream-removed", { upstream: id });
      directory.remove(id, nowMs);
      return;
    }
    const entry = dialect.parseUpstream(key, event.item.value, nowMs);
    if (entry.kind === "unreadable") {
      log.warn("upstream-unreadable", { upstream: id, reason: entry.reason });
      directory.remove(id, nowMs);
      return;
    }
    const { isDraining, dataCentre, coldUntilMs, version } = entry.value;
    log.info("upstream-listed", {
      upstream: id,
      dataCentre,
      version,
      isDraining,
      coldMs: Math.max(0, Math.round(coldUntilMs - nowMs)),
    });
    directory.set(entry.value);
    view.rollouts.recordListed(entry.value);
    view.crashes.recordListed(entry.value);
  }

  #handleMemberEvent(event: MetadataEvent): void {
    const { view, log, blocks, versions } = this.#parts;
    const service = historyRecord.parseKey(getEventKey(event));
    if (service !== undefined) {
      versions.handleEvent(service, event);
      return;
    }
    const rolledOut = rolloutRecord.parseKey(getEventKey(event));
    if (rolledOut !== undefined) {
      this.#parts.rollouts.handleRecordEvent(rolledOut, event);
      return;
    }
    const blockId = blockRecord.parseKey(getEventKey(event));
    if (blockId !== undefined) {
      blocks.handleEvent(blockId, event);
      return;
    }
    if (event.kind === "removed") {
      const id = memberRecord.parseKey(event.key);
      log.info("member-unlisted", { instance: id });
      view.members.remove(id, view.readNowMs());
      return;
    }
    const member = memberRecord.decode(event.item.value);
    if (member === undefined) {
      log.warn("member-unreadable", { key: event.item.key });
      return;
    }
    log.info("member-listed", {
      instance: member.id,
      duty: member.duty,
      incarnation: member.incarnation,
    });
    view.members.set(member);
  }
}

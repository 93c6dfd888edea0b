import {
  canRefuseByTable,
  type EventLog,
  type MetadataEvent,
  type MetadataStore,
} from "@gooseberryline/core";
import { addRecentEntry } from "../add_recent_entry.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { runSlowStep } from "../steps/run_slow_step.ts";
import type { PrefixWatch } from "../store/prefix_watch.ts";
import { waitMs } from "../wait_ms.ts";
import type { ConfigFreshness } from "./config_freshness.ts";
import { REFUSALS } from "./constants.ts";

type TableCheckParts = {
  readonly view: Pick<FleetView, "listPeers" | "storeRelays" | "readNowMs">;
  readonly store: Pick<MetadataStore, "listPage">;
  /** Asks for changes by way of a peer that has seen them. */
  readonly detour: Pick<MetadataStore, "watchPrefix">;
  /** The watch of operators' records. */
  readonly watch: Pick<PrefixWatch, "prefix" | "seen" | "applyEvents">;
  readonly freshness: ConfigFreshness;
  readonly log: EventLog;
};

/** The operators' records as the store has shown them. */
type Shown = {
  readonly events: readonly MetadataEvent[];
  readonly storeRevision: number;
};

/**
 * Says whether the configuration known here is the newest, and asks the store if
 * that can't be told: a key that was just issued must not be refused for good. At
 * most one question is under way, and those that come meanwhile share the next.
 */
export class TableCheck {
  readonly #parts: TableCheckParts;
  /** Keys and routes that were found missing. */
  readonly #missing = new Map<string, true>();
  /** When the last question that was answered was asked. */
  #confirmedMs = Number.NEGATIVE_INFINITY;
  #confirmedRevision = 0;
  #failedMs = Number.NEGATIVE_INFINITY;
  /** When the last question was asked, on the monotonic clock, in ms. */
  #startedMs = Number.NEGATIVE_INFINITY;
  #current: Promise<void> | undefined;
  /** The question that has not begun yet. */
  #next: Promise<void> | undefined;

  constructor(parts: TableCheckParts) {
    this.#parts = parts;
  }

  /**
   * Returns whether what is missing may be refused for good. The configuration in
   * force may be a newer one afterwards, so the caller looks once more.
   */
  async confirm(missing: string): Promise<boolean> {
    const arrivedMs = this.#parts.view.readNowMs();
    if (this.#canRefuse(missing, arrivedMs)) {
      return true;
    }
    if (this.#isWorthAsking(arrivedMs)) {
      await Promise.race([this.#ask(), waitMs(REFUSALS.ANSWER_WAIT_MS)]);
    }
    const isSure = this.#canRefuse(missing, arrivedMs);
    if (isSure) {
      this.recordMissing([missing]);
    }
    return isSure;
  }

  /** Records keys and routes that the newest configuration lacks. */
  recordMissing(names: readonly string[]): void {
    names.forEach((name) => {
      const key = shrinkName(name);
      addRecentEntry(this.#missing, key, true, REFUSALS.MAX_MISSING);
    });
  }

  /** Whether the store may answer now, and its answer may make a refusal sure. */
  #isWorthAsking(nowMs: number): boolean {
    const { freshness } = this.#parts;
    const hasFailed = nowMs - this.#failedMs <= REFUSALS.QUESTION_RETRY_MS;
    return freshness.isReadable && !hasFailed;
  }

  #canRefuse(name: string, arrivedMs: number): boolean {
    const { view, watch, freshness } = this.#parts;
    return canRefuseByTable({
      isReadable: freshness.isReadable,
      knownRevision: this.#getKnownRevision(),
      peerRevision: freshness.peerRevision,
      isConfirmed: this.#confirmedMs >= arrivedMs,
      wasMissing: this.#missing.has(shrinkName(name)),
      peers: view.listPeers().length,
      agreeingPeers: view.storeRelays.countAgreeing(watch.prefix, watch.seen),
    });
  }

  #getKnownRevision(): number {
    return Math.max(this.#parts.watch.seen, this.#confirmedRevision);
  }

  /** Asks with the next question: one under way may not show what came since. */
  #ask(): Promise<void> {
    this.#next ??= this.#askNext();
    return this.#next;
  }

  async #askNext(): Promise<void> {
    await this.#current;
    const { view } = this.#parts;
    const dueMs = this.#startedMs + REFUSALS.QUESTION_INTERVAL_MS;
    await waitMs(Math.max(0, dueMs - view.readNowMs()));
    this.#next = undefined;
    this.#current = this.#readNewest();
    await this.#current;
  }

  async #readNewest(): Promise<void> {
    const { view, watch, log } = this.#parts;
    const startedMs = view.readNowMs();
    this.#startedMs = startedMs;
    const about = { step: "confirm-config", key: watch.prefix };
    const shown = await runSlowStep(log, about, () => this.#read());
    if (shown === undefined) {
      this.#failedMs = view.readNowMs();
      return;
    }
    watch.applyEvents(shown.events);
    this.#confirmedMs = startedMs;
    this.#confirmedRevision = Math.max(
      this.#confirmedRevision,
      shown.storeRevision,
    );
  }

  #read(): Promise<Shown | undefined> {
    const { peerRevision } = this.#parts.freshness;
    return peerRevision > this.#getKnownRevision()
      ? this.#readByPeer()
      : this.#readPages();
  }

  async #readPages(after?: string): Promise<Shown | undefined> {
    const { store, watch } = this.#parts;
    const page = await store.listPage(watch.prefix, after);
    if (page.kind === "failed") {
      return undefined;
    }
    const { storeRevision } = page;
    const events = page.items.map((item) => ({ kind: "set", item }) as const);
    const last = page.items.at(-1);
    if (!page.hasMore || last === undefined) {
      return { events, storeRevision };
    }
    const rest = await this.#readPages(last.key);
    // Pages are no snapshot: what changed between them is known by the first.
    return rest && { events: [...events, ...rest.events], storeRevision };
  }

  /** Asks a peer that has seen a change, as the own path may be silent. */
  async #readByPeer(): Promise<Shown | undefined> {
    const { detour, watch } = this.#parts;
    const { prefix, seen } = watch;
    const wait = REFUSALS.PEER_WAIT_MS;
    const changes = await detour.watchPrefix(prefix, seen, wait);
    return changes.kind === "changes" ? changes : undefined;
  }
}

/** Bounds what a caller's key or path takes of the memory. */
function shrinkName(name: string): string {
  return name.slice(0, REFUSALS.MAX_MISSING_LENGTH);
}

import {
  getVersion,
  type LeavingUpstream,
  type UpstreamEntry,
} from "@gooseberryline/core";
import { FLEET } from "./constants.ts";

type DirectoryEntry = {
  readonly entry: UpstreamEntry;
  readonly expiresAtMs?: number;
  /** Whether the process said in an answer that it is about to end. */
  readonly isLeaving?: boolean;
};

/**
 * Holds the registered upstreams and lists those that may receive new work. An
 * entry removed during a store outage, or just after one, may only have lapsed
 * because its lease could not be renewed: it stays in use until the upstream
 * has had time to register again.
 */
export class UpstreamDirectory {
  readonly #held = new Map<string, DirectoryEntry>();
  readonly #evacuated = new Set<string>();
  #failingSinceMs: number | undefined;
  #storeRecoveredMs = Number.NEGATIVE_INFINITY;
  /** Called when it is news that an upstream is leaving by its own word. */
  onLeaving: (upstreamId: string) => void = () => undefined;

  /** Sets a registration; a process that is leaving stays so. */
  set(entry: UpstreamEntry): void {
    const known = this.#held.get(entry.id);
    const isLeaving =
      known?.isLeaving === true && known.entry.bornMs === entry.bornMs;
    this.#held.set(entry.id, { entry, isLeaving });
  }

  /** Marks processes as leaving by their own word: they get no new work. */
  markLeaving(upstreams: readonly LeavingUpstream[]): void {
    upstreams.forEach(({ id, bornMs }) => {
      const known = this.#held.get(id);
      const isNews =
        known !== undefined &&
        known.isLeaving !== true &&
        known.entry.bornMs === bornMs;
      if (isNews) {
        this.#held.set(id, { ...known, isLeaving: true });
        this.onLeaving(id);
      }
    });
  }

  /** Lists the processes that are leaving by their own word; undefined if none. */
  listLeaving(): readonly LeavingUpstream[] | undefined {
    const leaving = [...this.#held.values()]
      .filter(({ isLeaving }) => isLeaving === true)
      .map(({ entry: { id, bornMs } }) => ({ id, bornMs }));
    return leaving.length === 0 ? undefined : leaving;
  }

  find(id: string): UpstreamEntry | undefined {
    return this.#held.get(id)?.entry;
  }

  /** Whether a process is about to end as planned, or its entry is gone. */
  isLeaving({ id, bornMs }: LeavingUpstream): boolean {
    const known = this.#held.get(id);
    return (
      known === undefined || known.entry.bornMs !== bornMs || !isStaying(known)
    );
  }

  remove(id: string, nowMs: number): void {
    const known = this.#held.get(id);
    if (known === undefined) {
      return;
    }
    const graceEndMs = this.#storeRecoveredMs + FLEET.LAPSE_GRACE_MS;
    if (this.#isStoreDown(nowMs)) {
      this.#held.set(id, { ...known, expiresAtMs: Number.POSITIVE_INFINITY });
    } else if (nowMs < graceEndMs) {
      this.#held.set(id, { ...known, expiresAtMs: graceEndMs });
    } else {
      this.#held.delete(id);
    }
  }

  /** Records whether a call reached the store. */
  recordStoreContact(isReached: boolean, nowMs: number): void {
    if (!isReached) {
      this.#failingSinceMs ??= nowMs;
      return;
    }
    const isRecovered = this.#isStoreDown(nowMs);
    this.#failingSinceMs = undefined;
    if (isRecovered) {
      this.#storeRecoveredMs = nowMs;
      this.#retainLapsed(nowMs + FLEET.LAPSE_GRACE_MS);
    }
  }

  #isStoreDown(nowMs: number): boolean {
    const sinceMs = this.#failingSinceMs;
    return sinceMs !== undefined && nowMs - sinceMs >= FLEET.STORE_OUTAGE_MS;
  }

  #retainLapsed(expiresAtMs: number): void {
    [...this.#held.values()]
      .filter((known) => known.expiresAtMs !== undefined)
      .forEach((known) => {
        this.#held.set(known.entry.id, { ...known, expiresAtMs });
      });
  }

  evacuateDataCentre(dataCentre: string): void {
    this.#evacuated.add(dataCentre);
  }

  admitDataCentre(dataCentre: string): void {
    this.#evacuated.delete(dataCentre);
  }

  /**
   * Lists the upstreams of a service that are neither draining, leaving nor in an
   * evacuated data centre.
   */
  list(service: string, nowMs: number): readonly UpstreamEntry[] {
    this.#dropExpired(nowMs);
    return [...this.#held.values()]
      .filter(isStaying)
      .map(({ entry }) => entry)
      .filter((entry) => entry.service === service)
      .filter(({ dataCentre }) => !this.#evacuated.has(dataCentre));
  }

  /** Lists the versions of each service's upstreams, whatever their state. */
  listVersions(): ReadonlyMap<string, ReadonlySet<string>> {
    const versions = new Map<string, Set<string>>();
    this.#held.forEach(({ entry }) => {
      const known = versions.get(entry.service) ?? new Set();
      versions.set(entry.service, known.add(getVersion(entry)));
    });
    return versions;
  }

  /** Lists the registered upstreams, whatever their state. */
  listAll(): readonly UpstreamEntry[] {
    return [...this.#held.values()].map(({ entry }) => entry);
  }

  count(): number {
    return this.#held.size;
  }

  #dropExpired(nowMs: number): void {
    [...this.#held.values()]
      .filter(
        ({ expiresAtMs }) => expiresAtMs !== undefined && expiresAtMs <= nowMs,
      )
      .forEach(({ entry }) => {
        this.#held.delete(entry.id);
      });
  }
}

/** Whether a process is not about to end, by its entry or its own word. */
function isStaying({ entry, isLeaving }: DirectoryEntry): boolean {
  return !entry.isDraining && isLeaving !== true;
}

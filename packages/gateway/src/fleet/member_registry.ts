import { type Duty, type FleetMember, QUOTAS } from "@gooseberryline/core";

type KnownMember = {
  readonly member: FleetMember;
  readonly unlistedMs?: number;
};

/** Members that may be running, as long as none changes and time has not come. */
type PossiblyRunning = {
  readonly members: readonly FleetMember[];
  /** When the first of them no longer counts, in ms. */
  readonly untilMs: number;
};

/**
 * Tracks the instances of the fleet by their records in the store. Lists are made
 * anew only when they differ, as every message and placement asks for them.
 */
export class MemberRegistry {
  readonly #members = new Map<string, KnownMember>();
  /** The listed members, by duty; undefined for all. */
  readonly #lists = new Map<Duty | undefined, readonly FleetMember[]>();
  /** Numbers of listed members, by data centre. */
  readonly #counts = new Map<string, number>();
  #possiblyRunning: PossiblyRunning | undefined;
  readonly #spenders = new Map<Duty, readonly string[]>();
  /** Data centres by address; an address does not move to another. */
  readonly #dataCentres = new Map<string, string>();

  set(member: FleetMember): void {
    this.#change(() => this.#members.set(member.id, { member }));
    this.#dataCentres.set(member.address, member.dataCentre);
  }

  /**
   * Marks an instance as unlisted; it may be cut off from the store and still
   * running.
   */
  remove(id: string, nowMs: number): void {
    const known = this.#members.get(id);
    if (known !== undefined && known.unlistedMs === undefined) {
      this.#change(() =>
        this.#members.set(id, { ...known, unlistedMs: nowMs }),
      );
    }
  }

  /**
   * Removes an instance that has announced its shutdown, unless it has since
   * restarted.
   */
  dropIncarnation(id: string, incarnation: string): void {
    if (this.#members.get(id)?.member.incarnation === incarnation) {
      this.#change(() => this.#members.delete(id));
    }
  }

  /**
   * Adds an instance that sent a message but is not listed yet. An instance
   * that starts without access to the store discovers its peers this way.
   */
  addIfUnknown(member: FleetMember): void {
    if (!this.#members.has(member.id)) {
      this.set(member);
    }
  }

  /** Returns whether an instance is known by this address. */
  hasAddress(id: string, address: string): boolean {
    return this.#members.get(id)?.member.address === address;
  }

  /** Returns the data centre of the instance at an address, if it is known. */
  getDataCentre(address: string): string | undefined {
    return this.#dataCentres.get(address);
  }

  /** Counts the instances currently registered in the store. */
  count(): number {
    return this.list().length;
  }

  /** Counts the instances of a data centre currently registered in the store. */
  countIn(dataCentre: string): number {
    const known = this.#counts.get(dataCentre);
    if (known !== undefined) {
      return known;
    }
    const members = this.list().filter((one) => one.dataCentre === dataCentre);
    this.#counts.set(dataCentre, members.length);
    return members.length;
  }

  /** Lists the instances currently registered in the store. */
  list(duty?: Duty): readonly FleetMember[] {
    const known = this.#lists.get(duty);
    if (known !== undefined) {
      return known;
    }
    const members = [...this.#members.values()]
      .filter(({ unlistedMs }) => unlistedMs === undefined)
      .map(({ member }) => member)
      .filter((member) => duty === undefined || member.duty === duty);
    this.#lists.set(duty, members);
    return members;
  }

  /** Returns an instance's rank by its id among the members with a duty. */
  getRank(instanceId: string, duty?: Duty) {
    const members = this.list(duty);
    const rank = members.filter(({ id }) => id < instanceId).length;
    return { rank, count: Math.max(1, members.length) };
  }

  /**
   * Lists the instances that may be running: those listed, and those whose
   * lease expired so recently that they may only be cut off from the store.
   */
  listPossiblyRunning(nowMs: number): readonly FleetMember[] {
    const known = this.#possiblyRunning;
    if (known !== undefined && nowMs < known.untilMs) {
      return known.members;
    }
    const running = [...this.#members.values()]
      .map(({ member, unlistedMs }) => ({
        member,
        untilMs: computeFenceEndMs(unlistedMs),
      }))
      .filter(({ untilMs }) => nowMs < untilMs);
    const members = running.map(({ member }) => member);
    const untilMs = Math.min(...running.map((entry) => entry.untilMs));
    this.#possiblyRunning = { members, untilMs };
    this.#spenders.clear();
    return members;
  }

  /**
   * Lists the ids of instances that may be spending a share of a rate limit.
   */
  listSpenders(duty: Duty, nowMs: number): readonly string[] {
    const members = this.listPossiblyRunning(nowMs);
    const known = this.#spenders.get(duty);
    if (known !== undefined) {
      return known;
    }
    const ids = members
      .filter((member) => member.duty === duty)
      .map(({ id }) => id);
    this.#spenders.set(duty, ids);
    return ids;
  }

  #change(apply: () => void): void {
    apply();
    this.#lists.clear();
    this.#counts.clear();
    this.#possiblyRunning = undefined;
  }
}

/** Returns until when a member may be running, in ms. */
function computeFenceEndMs(unlistedMs: number | undefined): number {
  return unlistedMs === undefined
    ? Number.POSITIVE_INFINITY
    : unlistedMs + QUOTAS.REMOVED_PEER_FENCE_MS;
}

import { type Duty, type FleetMember, QUOTAS } from "@gooseberryline/core";

type KnownMember = {
  readonly member: FleetMember;
  readonly unlistedMs?: number;
};

/** Tracks the instances of the fleet by their records in the store. */
export class MemberRegistry {
  readonly #members = new Map<string, KnownMember>();
  /** Data centres by address; an address does not move to another. */
  readonly #dataCentres = new Map<string, string>();

  set(member: FleetMember): void {
    this.#members.set(member.id, { member });
    this.#dataCentres.set(member.address, member.dataCentre);
  }

  /**
   * Marks an instance as unlisted; it may be cut off from the store and still
   * running.
   */
  remove(id: string, nowMs: number): void {
    const known = this.#members.get(id);
    if (known !== undefined && known.unlistedMs === undefined) {
      this.#members.set(id, { ...known, unlistedMs: nowMs });
    }
  }

  /**
   * Removes an instance that has announced its shutdown, unless it has since
   * restarted.
   */
  dropIncarnation(id: string, incarnation: string): void {
    if (this.#members.get(id)?.member.incarnation === incarnation) {
      this.#members.delete(id);
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
    let count = 0;
    this.#members.forEach(({ unlistedMs }) => {
      count += unlistedMs === undefined ? 1 : 0;
    });
    return count;
  }

  /** Lists the instances currently registered in the store. */
  list(duty?: Duty): readonly FleetMember[] {
    return [...this.#members.values()]
      .filter(({ unlistedMs }) => unlistedMs === undefined)
      .map(({ member }) => member)
      .filter((member) => duty === undefined || member.duty === duty);
  }

  /**
   * Lists the instances that may be running: those listed, and those whose
   * lease expired so recently that they may only be cut off from the store.
   */
  listPossiblyRunning(nowMs: number): readonly FleetMember[] {
    return [...this.#members.values()]
      .filter(
        ({ unlistedMs }) =>
          unlistedMs === undefined ||
          nowMs - unlistedMs < QUOTAS.REMOVED_PEER_FENCE_MS,
      )
      .map(({ member }) => member);
  }

  /**
   * Lists the ids of instances that may be spending a share of a rate limit.
   */
  listSpenders(duty: Duty, nowMs: number): readonly string[] {
    return this.listPossiblyRunning(nowMs)
      .filter((member) => member.duty === duty)
      .map(({ id }) => id);
  }
}

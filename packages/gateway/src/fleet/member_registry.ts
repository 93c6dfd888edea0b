import { type Duty, type FleetMember, QUOTAS } from "@gooseberryline/core";

type KnownMember = {
  readonly member: FleetMember;
  readonly unlistedMs?: number;
};

/** Instances of the fleet, as their records in the store list them. */
export class MemberRegistry {
  readonly #members = new Map<string, KnownMember>();

  set(member: FleetMember): void {
    this.#members.set(member.id, { member });
  }

  /** An unlisted instance may be cut off and still work. */
  remove(id: string, nowMs: number): void {
    const known = this.#members.get(id);
    if (known !== undefined && known.unlistedMs === undefined) {
      this.#members.set(id, { ...known, unlistedMs: nowMs });
    }
  }

  /** Forgets an instance that said that it stops. */
  dropIncarnation(id: string, incarnation: string): void {
    if (this.#members.get(id)?.member.incarnation === incarnation) {
      this.#members.delete(id);
    }
  }

  /**
   * Takes an instance that is heard and not listed yet: one that starts while
   * it is cut off from the store learns of its peers in this way.
   */
  addIfUnknown(member: FleetMember): void {
    if (!this.#members.has(member.id)) {
      this.#members.set(member.id, { member });
    }
  }

  /** Whether an address is that of an instance as last listed. */
  hasAddress(id: string, address: string): boolean {
    return this.#members.get(id)?.member.address === address;
  }

  /** Instances that are listed now. */
  list(duty?: Duty): readonly FleetMember[] {
    return [...this.#members.values()]
      .filter(({ unlistedMs: leftMs }) => leftMs === undefined)
      .map(({ member }) => member)
      .filter((member) => duty === undefined || member.duty === duty);
  }

  /**
   * Instances that may be at work: those listed, and those whose lease ended
   * so lately that they may only be cut off from the store.
   */
  listPossiblyRunning(nowMs: number): readonly FleetMember[] {
    return [...this.#members.values()]
      .filter(
        ({ unlistedMs: leftMs }) =>
          leftMs === undefined || nowMs - leftMs < QUOTAS.FENCE_MS,
      )
      .map(({ member }) => member);
  }

  /** Ids of instances that may be spending a part of a limit. */
  listSpenders(duty: Duty, nowMs: number): readonly string[] {
    return this.listPossiblyRunning(nowMs)
      .filter((member) => member.duty === duty)
      .map(({ id }) => id);
  }
}

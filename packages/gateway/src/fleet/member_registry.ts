import { type Duty, type FleetMember, QUOTAS } from "@gooseberryline/core";

type Known = { readonly member: FleetMember; readonly leftMs?: number };

/** Instances of the fleet, as their records in the store list them. */
export class MemberRegistry {
  readonly #known = new Map<string, Known>();

  put(member: FleetMember): void {
    this.#known.set(member.id, { member });
  }

  /** An unlisted instance may be cut off and still work. */
  remove(id: string, nowMs: number): void {
    const known = this.#known.get(id);
    if (known !== undefined && known.leftMs === undefined) {
      this.#known.set(id, { ...known, leftMs: nowMs });
    }
  }

  /** Forgets an instance that said that it stops. */
  forget(id: string, incarnation: string): void {
    if (this.#known.get(id)?.member.incarnation === incarnation) {
      this.#known.delete(id);
    }
  }

  /**
   * Takes an instance that is heard and not listed yet: one that starts while
   * it is cut off from the store learns of its peers in this way.
   */
  putHeard(member: FleetMember): void {
    if (!this.#known.has(member.id)) {
      this.#known.set(member.id, { member });
    }
  }

  /** Whether an address is that of an instance as last listed. */
  isAt(id: string, address: string): boolean {
    return this.#known.get(id)?.member.address === address;
  }

  /** Instances that are listed now. */
  list(duty?: Duty): readonly FleetMember[] {
    return [...this.#known.values()]
      .filter(({ leftMs }) => leftMs === undefined)
      .map(({ member }) => member)
      .filter((member) => duty === undefined || member.duty === duty);
  }

  /**
   * Instances that may be at work: those listed, and those whose lease ended
   * so lately that they may only be cut off from the store.
   */
  listPossible(nowMs: number): readonly FleetMember[] {
    return [...this.#known.values()]
      .filter(
        ({ leftMs }) =>
          leftMs === undefined || nowMs - leftMs < QUOTAS.FENCE_MS,
      )
      .map(({ member }) => member);
  }

  /** Ids of instances that may be spending a part of a limit. */
  listSpenders(duty: Duty, nowMs: number): readonly string[] {
    return this.listPossible(nowMs)
      .filter((member) => member.duty === duty)
      .map(({ id }) => id);
  }
}

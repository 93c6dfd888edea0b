import type {
  EventLog,
  FleetMember,
  MetadataStore,
} from "@gooseberryline/core";
import { runSlowStep } from "../steps/run_slow_step.ts";
import { FLEET } from "./constants.ts";
import { memberRecord } from "./member_record.ts";

type MembershipTaskParts = {
  readonly store: MetadataStore;
  readonly member: FleetMember;
  readonly log: EventLog;
};

/** Registers this instance in the store and renews the lease of its record. */
export class MembershipTask {
  readonly #parts: MembershipTaskParts;
  #leaseId: string | undefined;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;

  constructor(parts: MembershipTaskParts) {
    this.#parts = parts;
  }

  start(): void {
    void this.#step();
  }

  /** Ends the lease, which removes the record immediately. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    if (this.#leaseId !== undefined) {
      await this.#parts.store.releaseLease(this.#leaseId);
    }
  }

  async #step(): Promise<void> {
    const leaseId = this.#leaseId;
    await runSlowStep(this.#parts.log, { step: "membership" }, () =>
      leaseId === undefined ? this.#register() : this.#renewLease(leaseId),
    );
    if (!this.#isStopped) {
      this.#timer = setTimeout(
        () => void this.#step(),
        FLEET.LEASE_RENEWAL_INTERVAL_MS,
      );
    }
  }

  async #renewLease(leaseId: string): Promise<void> {
    const renewed = await this.#parts.store.renewLease(leaseId);
    if (renewed.kind === "lease-gone") {
      this.#parts.log.warn("membership-lapsed", { leaseId });
      this.#leaseId = undefined;
      await this.#register();
    }
  }

  async #register(): Promise<void> {
    const { store, member, log } = this.#parts;
    const granted = await store.grantLease(FLEET.LEASE_TTL_MS);
    if (granted.kind !== "lease") {
      return;
    }
    const { leaseId } = granted;
    const key = memberRecord.buildKey(member.id);
    const value = memberRecord.encode(member);
    const written = await store.commit({
      expect: [],
      set: [{ key, value, leaseId }],
      remove: [],
    });
    if (written.kind === "committed") {
      this.#leaseId = leaseId;
      log.info("membership-registered", { leaseId });
    }
  }
}

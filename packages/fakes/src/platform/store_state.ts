import type { PlatformRecord } from "@gooseberryline/core";
import type {
  CasAnswer,
  CasRequest,
  WatchAnswer,
} from "@gooseberryline/protocol";

type StoredRecord = PlatformRecord & {
  readonly revision: number;
  readonly leaseId: string | undefined;
};
type Lease = { readonly ttlMs: number; readonly expiresMs: number };

const MAX_VALUE_BYTES = 1_048_576;

/**
 * Holds the records and leases of the fake key-value service. Callers pass
 * the current time.
 */
export class StoreState {
  readonly #records = new Map<string, StoredRecord>();
  readonly #leases = new Map<string, Lease>();
  #revision = 0;
  #leaseCount = 0;

  get(key: string, nowMs: number): PlatformRecord | undefined {
    this.#expireLeases(nowMs);
    return this.#records.get(key);
  }

  list(prefix: string, nowMs: number): readonly PlatformRecord[] {
    this.#expireLeases(nowMs);
    return [...this.#records.values()].filter(({ key }) =>
      key.startsWith(prefix),
    );
  }

  cas(request: CasRequest, nowMs: number): CasAnswer {
    this.#expireLeases(nowMs);
    const current = this.#records.get(request.key);
    const isExpected = (current?.version ?? 0) === request.expect;
    const isLeaseGone =
      request.leaseId !== undefined && !this.#leases.has(request.leaseId);
    const isTooLarge = Buffer.byteLength(request.value) > MAX_VALUE_BYTES;
    if (!isExpected || isLeaseGone || isTooLarge) {
      return { kind: "conflict", current };
    }
    this.#revision += 1;
    const version = this.#revision;
    this.#records.set(request.key, {
      key: request.key,
      value: request.value,
      version,
      revision: this.#revision,
      leaseId: request.leaseId,
    });
    return { kind: "written", version };
  }

  readChanges(prefix: string, revision: number, nowMs: number): WatchAnswer {
    this.#expireLeases(nowMs);
    const records = [...this.#records.values()].filter(
      (record) => record.key.startsWith(prefix) && record.revision > revision,
    );
    return { revision: this.#revision, records };
  }

  grantLease(ttlMs: number, nowMs: number): string {
    this.#leaseCount += 1;
    const leaseId = `lease-${this.#leaseCount}`;
    this.#leases.set(leaseId, { ttlMs, expiresMs: nowMs + ttlMs });
    return leaseId;
  }

  renewLease(leaseId: string, nowMs: number): boolean {
    this.#expireLeases(nowMs);
    const lease = this.#leases.get(leaseId);
    if (lease === undefined) {
      return false;
    }
    this.#leases.set(leaseId, { ...lease, expiresMs: nowMs + lease.ttlMs });
    return true;
  }

  #expireLeases(nowMs: number): void {
    const expired = [...this.#leases.entries()]
      .filter(([, { expiresMs }]) => expiresMs <= nowMs)
      .map(([leaseId]) => leaseId);
    expired.forEach((leaseId) => {
      this.#leases.delete(leaseId);
      [...this.#records.values()]
        .filter((record) => record.leaseId === leaseId)
        .forEach(({ key }) => {
          this.#records.delete(key);
        });
    });
  }
}

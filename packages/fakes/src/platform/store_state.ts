import type { PlatformRecord } from "@gooseberryline/core";
import type {
  CasAnswer,
  CasRequest,
  WatchAnswer,
} from "@gooseberryline/protocol";

type Held = PlatformRecord & {
  readonly revision: number;
  readonly leaseId: string | undefined;
};
type Lease = { readonly ttlMs: number; readonly endsMs: number };

const MAX_VALUE_BYTES = 1_048_576;

/** The records and leases of the stand-in; the clock is passed in. */
export class StoreState {
  readonly #records = new Map<string, Held>();
  readonly #leases = new Map<string, Lease>();
  #revision = 0;
  #leaseCount = 0;

  get(key: string, nowMs: number): PlatformRecord | undefined {
    this.#endLeases(nowMs);
    return this.#records.get(key);
  }

  list(prefix: string, nowMs: number): readonly PlatformRecord[] {
    this.#endLeases(nowMs);
    return [...this.#records.values()].filter(({ key }) =>
      key.startsWith(prefix),
    );
  }

  cas(request: CasRequest, nowMs: number): CasAnswer {
    this.#endLeases(nowMs);
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
    this.#endLeases(nowMs);
    const records = [...this.#records.values()].filter(
      (held) => held.key.startsWith(prefix) && held.revision > revision,
    );
    return { revision: this.#revision, records };
  }

  grantLease(ttlMs: number, nowMs: number): string {
    this.#leaseCount += 1;
    const leaseId = `lease-${this.#leaseCount}`;
    this.#leases.set(leaseId, { ttlMs, endsMs: nowMs + ttlMs });
    return leaseId;
  }

  keepLease(leaseId: string, nowMs: number): boolean {
    this.#endLeases(nowMs);
    const lease = this.#leases.get(leaseId);
    if (lease === undefined) {
      return false;
    }
    this.#leases.set(leaseId, { ...lease, endsMs: nowMs + lease.ttlMs });
    return true;
  }

  #endLeases(nowMs: number): void {
    const ended = [...this.#leases.entries()]
      .filter(([, { endsMs }]) => endsMs <= nowMs)
      .map(([leaseId]) => leaseId);
    ended.forEach((leaseId) => {
      this.#leases.delete(leaseId);
      [...this.#records.values()]
        .filter((held) => held.leaseId === leaseId)
        .forEach(({ key }) => {
          this.#records.delete(key);
        });
    });
  }
}

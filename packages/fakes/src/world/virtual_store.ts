import {
  assertNever,
  type PlatformAnswer,
  type PlatformCall,
} from "@gooseberryline/core";
import { CallMeter } from "../platform/call_meter.ts";
import { StoreState } from "../platform/store_state.ts";
import type { StoreFaults } from "../platform/types.ts";

/** Simulates the platform's key-value service under virtual time. */
export class VirtualStore {
  readonly records = new StoreState();
  readonly meter = new CallMeter({});
  #faults: StoreFaults = { isDown: false, delayMs: 2, loseAnswers: 0 };

  get faults(): StoreFaults {
    return this.#faults;
  }

  setFaults(faults: Partial<StoreFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  /** Handles a call; after `unavailable`, a write may have taken effect. */
  call(call: PlatformCall, nowMs: number): PlatformAnswer {
    if (this.#faults.isDown) {
      return { kind: "unavailable" };
    }
    if (!this.meter.admitCall(getCallPath(call), nowMs)) {
      return { kind: "throttled", retryAfterMs: 1000 };
    }
    const answer = this.#handleCall(call, nowMs);
    if (answer.kind === "written" && this.#faults.loseAnswers > 0) {
      this.setFaults({ loseAnswers: this.#faults.loseAnswers - 1 });
      return { kind: "unavailable" };
    }
    return answer;
  }

  #handleCall(call: PlatformCall, nowMs: number): PlatformAnswer {
    switch (call.kind) {
      case "get":
        return { kind: "got", record: this.records.get(call.key, nowMs) };
      case "list":
        return {
          kind: "listed",
          records: this.records.list(call.prefix, nowMs),
        };
      case "cas":
        return this.records.cas(call, nowMs);
      case "changes": {
        const { prefix, revision } = call;
        const changes = this.records.readChanges(prefix, revision, nowMs);
        return { kind: "changed", ...changes };
      }
      case "grant-lease":
        return {
          kind: "granted",
          leaseId: this.records.grantLease(call.ttlMs, nowMs),
        };
      case "keep-lease":
        return {
          kind: "kept",
          isKept: this.records.renewLease(call.leaseId, nowMs),
        };
      default:
        return assertNever(call);
    }
  }
}

function getCallPath(call: PlatformCall): string {
  switch (call.kind) {
    case "get":
    case "list":
    case "cas":
      return `/kv/${call.kind}`;
    case "changes":
      return "/kv/watch";
    case "grant-lease":
      return "/lease/grant";
    case "keep-lease":
      return "/lease/keep";
    default:
      return assertNever(call);
  }
}

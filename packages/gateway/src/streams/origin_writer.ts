import type {
  EventLog,
  MetadataStore,
  StreamOrigin,
} from "@gooseberryline/core";
import { runSlowStep } from "../steps/run_slow_step.ts";
import { STREAM_RECORDS } from "./constants.ts";
import { originRecord } from "./origin_record.ts";

type OriginWriterParts = {
  readonly store: MetadataStore;
  readonly log: EventLog;
  readonly readNowMs: () => number;
  readonly countInstances: () => number;
};

type Lease = { readonly id: string; readonly grantedMs: number };

/**
 * Writes which version began a stream, several streams at a time. The records end
 * with a lease, which is replaced before they are needed no more.
 */
export class OriginWriter {
  readonly #parts: OriginWriterParts;
  readonly #waiting = new Map<string, StreamOrigin>();
  #lease: Lease | undefined;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;

  constructor(parts: OriginWriterParts) {
    this.#parts = parts;
  }

  add(key: string, origin: StreamOrigin): void {
    this.#waiting.set(key, origin);
    const [oldest] = this.#waiting.keys();
    if (this.#waiting.size > STREAM_RECORDS.MAX_WAITING && oldest) {
      this.#waiting.delete(oldest);
    }
    this.#writeLater(this.#computeIntervalMs());
  }

  /** Writes what waits, before the instance ends. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    if (this.#waiting.size > 0) {
      await this.#write();
    }
  }

  #computeIntervalMs(): number {
    return Math.max(
      STREAM_RECORDS.MIN_INTERVAL_MS,
      this.#parts.countInstances() * STREAM_RECORDS.INTERVAL_PER_INSTANCE_MS,
    );
  }

  #writeLater(delayMs: number): void {
    if (this.#isStopped) {
      return;
    }
    this.#timer ??= setTimeout(async () => {
      const { log } = this.#parts;
      const isWritten = await runSlowStep(log, { step: "stream-origins" }, () =>
        this.#write(),
      );
      this.#timer = undefined;
      if (this.#waiting.size > 0) {
        const intervalMs = this.#computeIntervalMs();
        this.#writeLater(isWritten ? intervalMs : STREAM_RECORDS.RETRY_MS);
      }
    }, delayMs);
  }

  /** Writes one batch; returns whether the store has it. */
  async #write(): Promise<boolean> {
    const leaseId = await this.#findLease();
    if (leaseId === undefined) {
      return false;
    }
    const batch = [...this.#waiting].slice(0, STREAM_RECORDS.MAX_BATCH);
    const written = await this.#parts.store.commit({
      expect: [],
      set: batch.map(([key, origin]) => {
        return { key, value: originRecord.encode(origin), leaseId };
      }),
      remove: [],
    });
    switch (written.kind) {
      case "committed":
        batch.forEach(([key]) => {
          this.#waiting.delete(key);
        });
        return true;
      case "lease-gone":
        this.#lease = undefined;
        return false;
      default:
        this.#parts.log.info("stream-origins-unwritten", {
          streams: this.#waiting.size,
          reason: written.kind === "failed" ? written.reason : written.kind,
        });
        return false;
    }
  }

  async #findLease(): Promise<string | undefined> {
    const { store, readNowMs } = this.#parts;
    const nowMs = readNowMs();
    const lease = this.#lease;
    if (
      lease !== undefined &&
      nowMs - lease.grantedMs < STREAM_RECORDS.LEASE_REPLACE_MS
    ) {
      return lease.id;
    }
    const granted = await store.grantLease(STREAM_RECORDS.LEASE_TTL_MS);
    if (granted.kind !== "lease") {
      return undefined;
    }
    this.#lease = { id: granted.leaseId, grantedMs: nowMs };
    return granted.leaseId;
  }
}

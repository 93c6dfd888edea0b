import {
  type EventLog,
  getVersion,
  type MetadataEvent,
  type MetadataItem,
  type MetadataStore,
  ROLLOUT_CHART,
  type RolloutRecord,
  type RolloutStep,
} from "@gooseberryline/core";
import type { RecordDialect } from "../dialect/types.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { rolloutRecord } from "./rollout_record.ts";
import type { ServiceRollout } from "./service_rollout.ts";

type RolloutRecordsParts = {
  readonly view: FleetView;
  readonly store: Pick<MetadataStore, "commit">;
  readonly dialect: RecordDialect;
  readonly log: EventLog;
  /** Called once a roll-out knows what the store says of it. */
  readonly onAdopted: (rollout: ServiceRollout, isLaterStep: boolean) => void;
};

type StoredRecord = {
  readonly record: RolloutRecord | undefined;
  readonly revision: number;
};

const NO_RECORD: StoredRecord = { record: undefined, revision: 0 };

/** The steps of roll-outs as the store has them, and their next ones. */
export class RolloutRecords {
  readonly #parts: RolloutRecordsParts;
  readonly #stored = new Map<string, StoredRecord>();

  constructor(parts: RolloutRecordsParts) {
    this.#parts = parts;
  }

  /** Returns the record of this very order; undefined if it has none yet. */
  get({ order }: ServiceRollout): RolloutRecord | undefined {
    const record = this.#stored.get(order.service)?.record;
    return record?.order === order.revision ? record : undefined;
  }

  handleEvent(service: string, event: MetadataEvent): void {
    if (event.kind === "removed") {
      this.#stored.delete(service);
      this.#parts.view.rollouts.dropRecord(service);
      return;
    }
    this.#adopt(service, event.item);
  }

  /**
   * Writes a step under the condition that nobody else has written since the last
   * one that is known here. Returns whether the store took it.
   */
  async write(
    rollout: ServiceRollout,
    step: RolloutStep,
    evidence: string,
  ): Promise<boolean> {
    const { store, dialect, log } = this.#parts;
    const { service, to } = rollout.order;
    const { record, revision } = this.#stored.get(service) ?? NO_RECORD;
    if ((record?.order ?? 0) > rollout.order.revision) {
      // The operators have given a newer order, which is not known here yet.
      this.#parts.view.rollouts.onOrderBehind();
      return false;
    }
    const key = rolloutRecord.buildKey(service);
    const value = rolloutRecord.encode(this.#build(rollout, step, evidence));
    // Operators read of the first step and of the ends only.
    const isShown =
      ROLLOUT_CHART.isFinal(step) || this.get(rollout) === undefined;
    const status = dialect.buildRolloutStatus(service, to, step);
    const written = await store.commit({
      expect: [{ key, revision }],
      set: [{ key, value }, ...(isShown ? [status] : [])],
      remove: [],
    });
    if (written.kind === "committed") {
      this.#adopt(service, { key, value, revision: written.revision });
      return true;
    }
    if (written.kind === "conflict") {
      written.items
        .filter((item) => item.key === key)
        .forEach((item) => {
          this.#adopt(service, item);
        });
    } else if (written.kind === "failed") {
      const { reason } = written;
      log.warn("rollout-not-written", { service, step, reason });
    }
    return false;
  }

  #adopt(service: string, { value, revision }: MetadataItem): void {
    const known = this.#stored.get(service) ?? NO_RECORD;
    if (revision <= known.revision) {
      return;
    }
    const { view, log, onAdopted } = this.#parts;
    const record = rolloutRecord.decode(value);
    this.#stored.set(service, { record, revision });
    if (record === undefined) {
      log.warn("rollout-record-unreadable", { service });
      return;
    }
    const isLaterStep = view.rollouts.adoptRecord(record);
    const rollout = view.rollouts.get(service);
    if (rollout !== undefined) {
      onAdopted(rollout, isLaterStep);
    }
  }

  #build(
    rollout: ServiceRollout,
    step: RolloutStep,
    evidence: string,
  ): RolloutRecord {
    const { view } = this.#parts;
    const { service, to, revision } = rollout.order;
    const known = this.get(rollout);
    const replaced = view.directory
      .listAll()
      .filter((entry) => entry.service === service && !rollout.isNew(entry))
      .map(getVersion);
    const elapsedMs = rollout.measureElapsedMs(view.readNowMs());
    return {
      service,
      to,
      order: revision,
      step,
      orderedAtMs: known?.orderedAtMs ?? Math.round(Date.now() - elapsedMs),
      replaced: [...new Set([...(known?.replaced ?? []), ...replaced])],
      reason: rollout.badReason ?? evidence,
    };
  }
}

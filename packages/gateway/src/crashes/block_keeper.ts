import type {
  CrashBlock,
  EventLog,
  MetadataEvent,
  MetadataStore,
} from "@gooseberryline/core";
import { runSlowStep } from "../steps/run_slow_step.ts";
import { blockRecord } from "./block_record.ts";
import { buildBlockId } from "./build_block_id.ts";
import { CRASH_TIMES } from "./constants.ts";
import type { CrashTracker } from "./crash_tracker.ts";
import { listBlockFields } from "./list_block_fields.ts";

type BlockKeeperParts = {
  readonly store: MetadataStore;
  readonly tracker: CrashTracker;
  readonly log: EventLog;
};

type StoredBlock = {
  readonly revision: number;
  readonly customers: readonly string[];
};

/**
 * Keeps blocks in the store, for instances that start later. An operator lifts a
 * block by removing its record.
 */
export class BlockKeeper {
  readonly #parts: BlockKeeperParts;
  readonly #stored = new Map<string, StoredBlock>();
  readonly #timers = new Map<string, NodeJS.Timeout>();
  #isStopped = false;

  constructor(parts: BlockKeeperParts) {
    this.#parts = parts;
    parts.tracker.onBlock = (block, source, evidence) => {
      const event =
        block.kind === "request" ? "request-blocked" : "prompt-blocked";
      const fields = listBlockFields(block);
      parts.log.warn(event, { ...fields, source });
      const { blockId } = fields;
      parts.log.warn("block-evidence", { blockId, ...evidence });
      this.#writeLater(block);
    };
    parts.tracker.onLift = (block, reason) => {
      const blockId = buildBlockId(block);
      parts.log.warn("prompt-block-lifted", { blockId, reason });
      this.#writeLater(block);
    };
  }

  /** Handles a change of a block's record in the store. */
  handleEvent(blockId: string, event: MetadataEvent): void {
    const { tracker, log } = this.#parts;
    if (event.kind === "removed") {
      this.#stored.delete(blockId);
      tracker.dropBlock(blockId);
      return;
    }
    const { value, revision } = event.item;
    const block = blockRecord.decode(value);
    if (block === undefined) {
      log.warn("prompt-block-unreadable", { blockId });
      return;
    }
    this.#stored.set(blockId, { revision, customers: listCustomers(block) });
    tracker.addBlock(block, "store");
    if (!tracker.blocks.some((known) => buildBlockId(known) === blockId)) {
      this.#writeLater(block);
    }
  }

  stop(): void {
    this.#isStopped = true;
    this.#timers.forEach((timer) => {
      clearTimeout(timer);
    });
  }

  /**
   * Writes or removes a block's record after a random delay, unless the store
   * agrees by then.
   */
  #writeLater(block: CrashBlock): void {
    const blockId = buildBlockId(block);
    if (this.#isStopped || this.#timers.has(blockId)) {
      return;
    }
    const delayMs = Math.random() * CRASH_TIMES.MAX_WRITE_DELAY_MS;
    const timer = setTimeout(() => {
      this.#timers.delete(blockId);
      void runSlowStep(this.#parts.log, { step: "block", key: blockId }, () =>
        this.#write(block),
      );
    }, delayMs);
    this.#timers.set(blockId, timer);
  }

  async #write(block: CrashBlock): Promise<void> {
    const blockId = buildBlockId(block);
    const { store, tracker } = this.#parts;
    const inForce = tracker.blocks.find(
      (known) => buildBlockId(known) === blockId,
    );
    const stored = this.#stored.get(blockId);
    if (this.#isStored(inForce, stored)) {
      return;
    }
    const key = blockRecord.buildKey(block);
    const written = await store.commit({
      expect: [{ key, revision: stored?.revision ?? 0 }],
      set: inForce ? [{ key, value: blockRecord.encode(inForce) }] : [],
      remove: inForce ? [] : [key],
    });
    if (written.kind !== "committed") {
      this.#writeLater(block);
    } else if (inForce === undefined) {
      this.#stored.delete(blockId);
    } else {
      const { revision } = written;
      const customers = listCustomers(inForce);
      this.#stored.set(blockId, { revision, customers });
    }
  }

  #isStored(
    inForce: CrashBlock | undefined,
    stored: StoredBlock | undefined,
  ): boolean {
    if (inForce === undefined || stored === undefined) {
      return inForce === stored;
    }
    return listCustomers(inForce).every((name) =>
      stored.customers.includes(name),
    );
  }
}

/** Lists the customers whose number a block depends on. */
function listCustomers(block: CrashBlock): readonly string[] {
  return block.kind === "prompt" ? block.customers : [];
}

import {
  CRASHES,
  type Crash,
  type CrashNews,
  type CrashSuspect,
  decidePromptBlocks,
  holdsBlock,
  mergeCrash,
  mergePromptBlock,
  type PromptBlock,
} from "@gooseberryline/core";
import { addRecentEntry } from "../add_recent_entry.ts";
import { buildBlockId } from "./build_block_id.ts";

/** How a block became known. */
export type BlockSource = "evidence" | "peer" | "store";

/** An attempt in flight whose answer has not begun. */
export type PendingAttempt = Omit<CrashSuspect, "hasHead"> & {
  /** Stops the attempt, since a block holds for it. */
  readonly stop: (block: PromptBlock) => void;
};

/**
 * Tracks which prompt parts were being answered when upstreams crashed, and
 * which are blocked for it. Evidence and blocks are those of the whole fleet, as
 * far as peers have told.
 */
export class CrashTracker {
  readonly #readNowMs: () => number;
  #crashes: readonly Crash[] = [];
  #blocks: readonly PromptBlock[] = [];
  /** The crashes that this instance saw itself, to report to peers. */
  #ownCrashes: readonly Crash[] = [];
  /** When an answer last began on a part, here or at a peer. */
  readonly #lastSoundMs = new Map<string, number>();
  /** When an operator lifted a block, by its id. */
  readonly #liftedMs = new Map<string, number>();
  readonly #pending = new Set<PendingAttempt>();
  /** Called for what peers have to learn before the next interval. */
  onUrgentNews: () => void = () => undefined;
  /** Called when a block is new here, or holds for more customers. */
  onBlock: (block: PromptBlock, source: BlockSource) => void = () => undefined;

  constructor(readNowMs: () => number) {
    this.#readNowMs = readNowMs;
  }

  get blocks(): readonly PromptBlock[] {
    return this.#blocks;
  }

  findBlock(
    parts: readonly string[],
    customer: string,
  ): PromptBlock | undefined {
    return this.#blocks.find((block) => holdsBlock(block, parts, customer));
  }

  /** Follows an attempt until its answer begins or it ends. */
  addPending(attempt: PendingAttempt): void {
    this.#pending.add(attempt);
  }

  dropPending(attempt: PendingAttempt): void {
    this.#pending.delete(attempt);
  }

  /** Records that an answer began on a prompt with these parts. */
  recordSoundStart(parts: readonly string[]): void {
    const nowMs = this.#readNowMs();
    parts.forEach((part) => {
      this.#setLastSoundMs(part, nowMs);
    });
  }

  /** Records a request that had not begun when its upstream crashed. */
  recordCrash(upstreamId: string, suspect: CrashSuspect): void {
    if (suspect.parts.length === 0) {
      return;
    }
    const atMs = this.#readNowMs();
    const crash = { upstreamId, atMs, suspects: [suspect] };
    this.#crashes = mergeCrash(this.#crashes, crash);
    this.#ownCrashes = mergeCrash(this.#ownCrashes, crash);
    this.#decide();
    this.onUrgentNews();
  }

  /** Returns what to tell peers; undefined if there is nothing. */
  buildNews(): CrashNews | undefined {
    const nowMs = this.#readNowMs();
    const crashes = this.#ownCrashes
      .filter(({ atMs }) => nowMs - atMs < CRASHES.REPORT_MS)
      .map(({ atMs, ...crash }) => ({
        ...crash,
        ageMs: Math.round(nowMs - atMs),
      }));
    const soundAges = this.#listSoundAges(nowMs);
    const blocks = this.#blocks;
    const isEmpty =
      crashes.length === 0 &&
      blocks.length === 0 &&
      Object.keys(soundAges).length === 0;
    return isEmpty ? undefined : { crashes, soundAges, blocks };
  }

  /** Lists the ages of sound answers on parts that recent crashes speak against. */
  #listSoundAges(nowMs: number): Readonly<Record<string, number>> {
    const suspected = this.#crashes
      .filter(({ atMs }) => nowMs - atMs < CRASHES.SUSPICION_MS)
      .flatMap(({ suspects }) => suspects.flatMap(({ parts }) => parts));
    const ages = [...new Set(suspected)].flatMap((part) => {
      const atMs = this.#lastSoundMs.get(part);
      return atMs === undefined || nowMs - atMs > CRASHES.REPORT_MS
        ? []
        : [[part, Math.round(nowMs - atMs)] as const];
    });
    return Object.fromEntries(ages);
  }

  recordPeerNews({ crashes, soundAges, blocks }: CrashNews): void {
    const nowMs = this.#readNowMs();
    Object.entries(soundAges).forEach(([part, ageMs]) => {
      const atMs = nowMs - ageMs;
      if (atMs > this.#getLastSoundMs(part)) {
        this.#setLastSoundMs(part, atMs);
      }
    });
    const before = this.#crashes;
    this.#crashes = crashes
      .map(({ ageMs, ...crash }) => ({ ...crash, atMs: nowMs - ageMs }))
      .reduce(mergeCrash, before);
    blocks
      .filter((block) => !this.#isLifted(block, nowMs))
      .forEach((block) => {
        this.addBlock(block, "peer");
      });
    if (this.#crashes !== before) {
      this.#decide();
    }
  }

  /** Puts a block in force and stops the attempts that it holds for. */
  addBlock(block: PromptBlock, source: BlockSource): void {
    const before = this.#blocks;
    this.#blocks = mergePromptBlock(before, block);
    if (this.#blocks === before) {
      return;
    }
    this.onBlock(block, source);
    this.onUrgentNews();
    [...this.#pending].forEach((attempt) => {
      const held = this.findBlock(attempt.parts, attempt.customer);
      if (held !== undefined) {
        attempt.stop(held);
      }
    });
  }

  /**
   * Lifts a block. What spoke against its parts until now no longer counts, and
   * peers that have yet to hear of it do not bring it back.
   */
  dropBlock(blockId: string): void {
    const nowMs = this.#readNowMs();
    this.#liftedMs.set(blockId, nowMs);
    const lifted = this.#blocks.filter(
      (block) => buildBlockId(block) === blockId,
    );
    this.#blocks = this.#blocks.filter((block) => !lifted.includes(block));
    lifted.forEach(({ parts }) => {
      this.recordSoundStart(parts);
    });
  }

  #isLifted(block: PromptBlock, nowMs: number): boolean {
    const atMs = this.#liftedMs.get(buildBlockId(block));
    return atMs !== undefined && nowMs - atMs < CRASHES.EVIDENCE_MS;
  }

  #decide(): void {
    decidePromptBlocks(this.#crashes, (part) =>
      this.#getLastSoundMs(part),
    ).forEach((block) => {
      this.addBlock(block, "evidence");
    });
  }

  #setLastSoundMs(part: string, atMs: number): void {
    addRecentEntry(this.#lastSoundMs, part, atMs, CRASHES.MAX_SOUND_PARTS);
  }

  #getLastSoundMs(part: string): number {
    return this.#lastSoundMs.get(part) ?? Number.NEGATIVE_INFINITY;
  }
}

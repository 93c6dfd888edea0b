import {
  type BlockSubject,
  CRASHES,
  type Crash,
  type CrashBlock,
  holdsBlock,
  isSoundSince,
  listLikelySuspects,
  mergeCrashBlock,
  startBlockTerm,
} from "@gooseberryline/core";
import { buildBlockId } from "./build_block_id.ts";

/** A block whose time is over; one crash under it puts it in force again. */
type LapsedBlock = { readonly block: CrashBlock; readonly lapsedMs: number };

/** A lifted block; peers may tell of this term, or an earlier one, for a while. */
type LiftedBlock = { readonly atMs: number; readonly term: number };

type BlockClocks = {
  /** Returns the monotonic time, in ms. */
  readonly readNowMs: () => number;
  readonly readUnixMs: () => number;
};

/** The blocks in force, and what is remembered of those that ended. */
export class BlockList {
  readonly #clocks: BlockClocks;
  #blocks: readonly CrashBlock[] = [];
  #lapsed: readonly LapsedBlock[] = [];
  /** The blocks that an operator lifted, by their ids. */
  readonly #lifted = new Map<string, LiftedBlock>();

  constructor(clocks: BlockClocks) {
    this.#clocks = clocks;
  }

  get blocks(): readonly CrashBlock[] {
    return this.#blocks;
  }

  find(subject: BlockSubject): CrashBlock | undefined {
    return this.#blocks.find(
      (block) => !this.#isOver(block) && holdsBlock(block, subject),
    );
  }

  /** Adds a block, for its first term if it has none; returns whether it is news. */
  add(block: CrashBlock): boolean {
    const unixMs = this.#clocks.readUnixMs();
    const added =
      block.term === undefined ? startBlockTerm(block, unixMs) : block;
    const before = this.#blocks;
    if (!this.#isOver(added)) {
      this.#blocks = mergeCrashBlock(before, added);
    }
    return this.#blocks !== before;
  }

  /** Removes the blocks for which `shouldEnd` holds, and returns them. */
  remove(shouldEnd: (block: CrashBlock) => boolean): readonly CrashBlock[] {
    const ended = this.#blocks.filter(shouldEnd);
    this.#blocks = this.#blocks.filter((block) => !ended.includes(block));
    return ended;
  }

  /** Removes the blocks whose time is over, and returns them. */
  removeLapsed(): readonly CrashBlock[] {
    const ended = this.remove((block) => this.#isOver(block));
    const lapsedMs = this.#clocks.readNowMs();
    this.#lapsed = [
      ...this.#lapsed,
      ...ended.map((block) => ({ block, lapsedMs })),
    ].slice(-CRASHES.MAX_BLOCKS);
    return ended;
  }

  /** Removes lapsed blocks that a crash speaks for again; returns them renewed. */
  renewLapsed(
    crashes: readonly Crash[],
    getLastSoundMs: (key: string) => number,
  ): readonly CrashBlock[] {
    const renewed = this.#lapsed
      .map((lapsed) => {
        const against = crashes.filter(
          ({ atMs }) => !isSoundSince(lapsed.block, atMs, getLastSoundMs),
        );
        return { lapsed, upstreams: listUpstreams(against, lapsed) };
      })
      .filter(({ upstreams }) => upstreams.length > 0);
    const ended = renewed.map(({ lapsed }) => lapsed);
    this.#lapsed = this.#lapsed.filter((lapsed) => !ended.includes(lapsed));
    const unixMs = this.#clocks.readUnixMs();
    return renewed.map(({ lapsed, upstreams }) =>
      startBlockTerm({ ...lapsed.block, upstreams }, unixMs),
    );
  }

  /** Removes a block that an operator lifted, and keeps peers from restoring it. */
  lift(blockId: string): readonly CrashBlock[] {
    const lifted = this.remove((block) => buildBlockId(block) === blockId);
    const term = Math.max(1, ...lifted.map((block) => block.term ?? 1));
    this.#lifted.set(blockId, { atMs: this.#clocks.readNowMs(), term });
    return lifted;
  }

  isLifted(block: CrashBlock): boolean {
    if (this.#lifted.size === 0) {
      return false;
    }
    const lifted = this.#lifted.get(buildBlockId(block));
    const nowMs = this.#clocks.readNowMs();
    return (
      lifted !== undefined &&
      nowMs - lifted.atMs < CRASHES.EVIDENCE_MS &&
      (block.term ?? 1) <= lifted.term
    );
  }

  #isOver({ expiresAtMs }: CrashBlock): boolean {
    return (
      expiresAtMs !== undefined && expiresAtMs <= this.#clocks.readUnixMs()
    );
  }
}

/** Lists the upstreams that crashed under a block since it lapsed. */
function listUpstreams(
  crashes: readonly Crash[],
  { block, lapsedMs }: LapsedBlock,
): readonly string[] {
  return crashes
    .filter((crash) => crash.atMs > lapsedMs && isEvidenceFor(crash, block))
    .map(({ upstreamId }) => upstreamId);
}

function isEvidenceFor(crash: Crash, block: CrashBlock): boolean {
  const suspects =
    block.kind === "request" ? crash.suspects : listLikelySuspects(crash);
  return suspects.some(({ parts, customer, request }) =>
    holdsBlock(block, { parts, customer, hasKey: (key) => key === request }),
  );
}

import {
  CRASHES,
  type Crash,
  type CrashBlock,
  type CrashReport,
  type CrashVerdict,
  decideCrashVerdict,
  isSameCrash,
  isSoundSince,
  isSuccessor,
  mergeCrash,
  type UpstreamEntry,
} from "@gooseberryline/core";
import { addRecentEntry } from "../add_recent_entry.ts";

/** What the evidence is judged by. */
export type CrashEvidenceParts = {
  readonly instanceId: string;
  /** Returns the monotonic time, in ms. */
  readonly readNowMs: () => number;
  /** Returns whether an upstream has sent data to any instance since then. */
  readonly hasActivitySince: (upstreamId: string, sinceMs: number) => boolean;
  readonly findUpstream: (upstreamId: string) => UpstreamEntry | undefined;
};

/** What a block rests on, for operators. */
export type EvidenceFields = {
  /** Time since each of its crashes that is known here, in ms. */
  readonly crashAgesMs: string;
  /** Crashes known here that are not its own. */
  readonly otherCrashes: number;
};

/** Possible crashes of upstreams, as seen here and told by peers. */
export class CrashEvidence {
  readonly #parts: CrashEvidenceParts;
  #crashes: readonly Crash[] = [];
  /** What this instance saw itself, to report to peers. */
  #own: readonly Crash[] = [];
  /** The registrations of upstreams that may have crashed, by their ids. */
  readonly #entries = new Map<string, UpstreamEntry>();

  constructor(parts: CrashEvidenceParts) {
    this.#parts = parts;
  }

  get crashes(): readonly Crash[] {
    return this.#crashes;
  }

  /** Lists the crashes that are confirmed. */
  listCrashed(): readonly Crash[] {
    const nowMs = this.#parts.readNowMs();
    return this.#crashes.filter(
      (crash) => decideCrashVerdict(crash, nowMs) === "crashed",
    );
  }

  /** Lists the crashes that nobody has disproved. */
  listPossible(): readonly Crash[] {
    return this.#crashes.filter(({ reachedAt }) => reachedAt.length === 0);
  }

  /** Describes what a block that rests on crashes of these upstreams is decided by. */
  describe(upstreams: readonly string[]): EvidenceFields {
    const nowMs = this.#parts.readNowMs();
    const possible = this.listPossible();
    const ages = possible
      .filter(({ upstreamId }) => upstreams.includes(upstreamId))
      .map(({ atMs }) => Math.round(nowMs - atMs));
    const otherCrashes = possible.length - ages.length;
    return { crashAgesMs: ages.join(" "), otherCrashes };
  }

  /**
   * Returns when an upstream last seemed to crash under a request or part, of the
   * crashes whose sound answers peers are told.
   */
  getLastUnderMs(key: string): number {
    const nowMs = this.#parts.readNowMs();
    return this.#crashes
      .filter(({ atMs }) => nowMs - atMs < CRASHES.SUSPICION_MS)
      .filter(({ suspects }) =>
        suspects.some(
          ({ request, parts }) => request === key || parts.includes(key),
        ),
      )
      .reduce(
        (latest, { atMs }) => Math.max(latest, atMs),
        Number.NEGATIVE_INFINITY,
      );
  }

  /** Returns what the latest possible crash of an upstream was. */
  findVerdict(upstreamId: string): CrashVerdict {
    const [latest] = this.#listCrashesOf(upstreamId).sort(
      (a, b) => b.atMs - a.atMs,
    );
    return latest === undefined
      ? "unknown"
      : decideCrashVerdict(latest, this.#parts.readNowMs());
  }

  /** Returns whether an upstream seemed to crash, and only paths were cut. */
  isDisproved(upstreamId: string): boolean {
    const nowMs = this.#parts.readNowMs();
    const verdicts = this.#listCrashesOf(upstreamId).map((crash) =>
      decideCrashVerdict(crash, nowMs),
    );
    return verdicts.includes("reached") && !verdicts.includes("crashed");
  }

  /** Returns whether too few of the crashes that led to a block were crashes. */
  isUnfounded({ upstreams }: CrashBlock): boolean {
    const crashed = upstreams.filter(
      (upstreamId) => !this.isDisproved(upstreamId),
    );
    return (
      crashed.length < upstreams.length &&
      crashed.length < CRASHES.BLOCKING_CRASHES
    );
  }

  /** Returns whether all that a block names was sound after its last crash. */
  isRefuted(
    block: CrashBlock,
    getLastSoundMs: (key: string) => number,
  ): boolean {
    const times = block.upstreams
      .flatMap((upstreamId) => this.#listCrashesOf(upstreamId))
      .map(({ atMs }) => atMs);
    return (
      times.length > 0 &&
      isSoundSince(block, Math.max(...times), getLastSoundMs)
    );
  }

  #listCrashesOf(upstreamId: string): Crash[] {
    return this.#crashes.filter((crash) => crash.upstreamId === upstreamId);
  }

  /** Adds reports; returns whether they are news, and the crashes new here. */
  add(crashes: readonly Crash[]): {
    readonly isChanged: boolean;
    readonly added: readonly Crash[];
  } {
    const before = this.#crashes;
    this.#crashes = crashes.reduce(mergeCrash, before);
    const added = this.#crashes.filter(
      (crash) => !before.some((known) => isSameCrash(known, crash)),
    );
    added.forEach(({ upstreamId }) => {
      this.#keepEntry(upstreamId);
    });
    return { isChanged: this.#crashes !== before, added };
  }

  /** Adds what this instance saw itself to what peers are told. */
  addOwn(crash: Crash): void {
    this.#own = mergeCrash(this.#own, crash);
  }

  #keepEntry(upstreamId: string): void {
    const entry = this.#parts.findUpstream(upstreamId);
    if (entry !== undefined) {
      const maxEntries = CRASHES.MAX_EVIDENCE;
      addRecentEntry(this.#entries, upstreamId, entry, maxEntries);
    }
  }

  /** Lists the crashes whose upstream is replaced by a process that is listed. */
  listReplacedBy(entry: UpstreamEntry): readonly Crash[] {
    const nowMs = this.#parts.readNowMs();
    return this.#crashes
      .filter(({ isReplaced }) => !isReplaced)
      .filter(({ atMs }) => nowMs - atMs < CRASHES.SUCCESSOR_MS)
      .filter(({ upstreamId }) => {
        const earlier = this.#entries.get(upstreamId);
        return earlier !== undefined && isSuccessor(entry, earlier);
      })
      .map((crash) => ({ ...crash, isReplaced: true }));
  }

  /** Adds that data arrived from upstreams after they seemed to crash. */
  addLifeSigns(): void {
    const { readNowMs, hasActivitySince, instanceId } = this.#parts;
    const nowMs = readNowMs();
    const alive = this.#crashes
      .filter(({ atMs }) => nowMs - atMs < CRASHES.LIFE_SIGN_MS)
      .filter(({ reachedAt }) => !reachedAt.includes(instanceId))
      .filter(({ upstreamId, atMs }) =>
        hasActivitySince(upstreamId, atMs + CRASHES.ARRIVAL_MARGIN_MS),
      )
      .map((crash) => ({
        ...crash,
        suspects: [],
        reachedAt: [instanceId],
        reachedMs: crash.atMs + CRASHES.ARRIVAL_MARGIN_MS,
      }));
    this.#crashes = alive.reduce(mergeCrash, this.#crashes);
    this.#own = alive.reduce(mergeCrash, this.#own);
  }

  /** Lists what this instance saw lately, for peers. */
  listReports(): readonly CrashReport[] {
    const nowMs = this.#parts.readNowMs();
    return this.#own
      .filter(({ atMs }) => nowMs - atMs < CRASHES.REPORT_MS)
      .map(({ atMs, reachedMs, isReplaced, ...crash }) => ({
        ...crash,
        ageMs: Math.round(nowMs - atMs),
        reachedAgeMs:
          reachedMs === undefined ? undefined : Math.round(nowMs - reachedMs),
      }));
  }

  /** Lists the requests and parts that recent crashes speak against. */
  listSuspectedKeys(): readonly string[] {
    const nowMs = this.#parts.readNowMs();
    return this.#crashes
      .filter(({ atMs }) => nowMs - atMs < CRASHES.SUSPICION_MS)
      .flatMap(({ suspects }) => suspects)
      .flatMap(({ request, parts }) => [request, ...parts]);
  }
}

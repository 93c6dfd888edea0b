import {
  createReach,
  isCutOff,
  recordAnswer,
  recordConnected,
  recordOpened,
  recordUnanswered,
  type UpstreamReach,
} from "@gooseberryline/core";

/** Tracks whether this instance reaches upstreams, by what its attempts do. */
export class ReachTracker {
  readonly #readNowMs: () => number;
  readonly #directory: { readonly count: () => number };
  #reach: UpstreamReach = createReach();
  #isConfirmed = false;
  /** Whether requests of peers can be taken; set once a listener takes them. */
  canTake: () => boolean = () => false;
  /** Called when the instance was cut off, or reaches upstreams again. */
  onChange: (isCutOff: boolean) => void = () => undefined;
  /** Called when peers should know at once. */
  onUrgentNews: () => void = () => undefined;

  constructor(
    readNowMs: () => number,
    directory: { readonly count: () => number },
  ) {
    this.#readNowMs = readNowMs;
    this.#directory = directory;
  }

  /** Whether the instance is cut off from all upstreams. */
  get isCutOff(): boolean {
    return isCutOff(this.#reach);
  }

  /** Whether an attempt to reach an upstream has failed since it was cut off. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  /** Returns whether an upstream is among those that failed lately. */
  hasFailed(upstreamId: string): boolean {
    const { answers, connections } = this.#reach;
    return (
      answers.failures.has(upstreamId) || connections.failures.has(upstreamId)
    );
  }

  /** Records that data of an upstream arrived. */
  recordAnswer(): void {
    this.#set(recordAnswer(this.#reach, this.#readNowMs()));
  }

  /** Records that a connection for a request opened. */
  recordConnected(): void {
    this.#set(recordConnected(this.#reach, this.#readNowMs()));
  }

  /** Records whether an upstream accepted a connection while cut off. */
  recordProbe(isOpen: boolean): void {
    if (isOpen) {
      this.#set(recordOpened(this.#reach));
    } else {
      this.#isConfirmed = this.isCutOff;
    }
  }

  /** Records that an attempt was refused, reset or silent. */
  recordUnanswered(upstreamId: string, isConnected: boolean): void {
    const upstreamCount = this.#directory.count();
    const attempt = { upstreamId, isConnected, upstreamCount };
    this.#set(recordUnanswered(this.#reach, attempt, this.#readNowMs()));
  }

  /**
   * Returns the fields of a load message on this. What fails while nothing is
   * reached says nothing of the upstreams, so none is named as suspect.
   */
  buildNews(): {
    readonly isTaking: boolean;
    readonly suspects?: readonly string[];
  } {
    const isTaking = !this.isCutOff && this.canTake();
    return this.#isConfirmed ? { isTaking, suspects: [] } : { isTaking };
  }

  #set(reach: UpstreamReach): void {
    const wasCutOff = this.isCutOff;
    this.#reach = reach;
    if (wasCutOff !== this.isCutOff) {
      this.onChange(this.isCutOff);
      this.#isConfirmed = false;
      this.onUrgentNews();
    }
  }
}

/** Limits on the evidence about crashes. */
export const CRASHES = {
  /**
   * Crashes under a request or part, one after the other and without a sound answer
   * since, that block it.
   */
  BLOCKING_CRASHES: 3,
  /** Part of a key's crashes that may happen beside it for another cause. */
  MAX_STRAY_SHARE: 0.5,
  /** Crashes of one cause are found within this time, in ms. */
  SAME_EVENT_MS: 500,
  /**
   * Time in which peers tell of sound answers on what ran at a crash, in ms. Less
   * than that after the first of the crashes, nothing is blocked.
   */
  OBJECTION_MS: 100,
  /** Crashes that block all remaining suspects if none stands out. */
  MAX_CRASHES: 5,
  /** Crashes besides those of a blocked request that block a part of it, too. */
  CRASHES_BESIDE_BLOCKED_REQUEST: 2,
  /** Crashes under a request from which on it is not sent to another upstream. */
  CRASHES_WITHOUT_RETRY: 2,
  /** Instances that have to find an upstream down before it counts as crashed. */
  CONFIRMING_WITNESSES: 2,
  /** Instances that find it down after which there is no need to wait. */
  CERTAIN_WITNESSES: 4,
  /** Instances that look, besides those that lost a connection. */
  ASKED_WITNESSES: 3,
  /** Time in which an instance that still reaches the upstream can object, in ms. */
  SETTLE_MS: 150,
  /**
   * Time after a crash in which data may still arrive that was sent before it,
   * in ms.
   */
  ARRIVAL_MARGIN_MS: 250,
  /**
   * Time after a crash in which data can only come from the same process, as one
   * that starts again takes seconds, in ms.
   */
  LIFE_SIGN_MS: 1_500,
  /** Time after a crash in which its successor is listed, in ms. */
  SUCCESSOR_MS: 20_000,
  /** Customers from which on a block holds for all customers. */
  CUSTOMERS_FOR_ALL: 2,
  /** Reports of an upstream within this time are of one crash, in ms. */
  SAME_CRASH_MS: 1_000,
  /** Time for which a crash counts, in ms. */
  EVIDENCE_MS: 600_000,
  /** Time for which peers are told of sound answers on its parts, in ms. */
  SUSPICION_MS: 10_000,
  /** Time for which a crash is reported to peers, in ms. */
  REPORT_MS: 3_000,
  /** Crashes kept as evidence; the oldest go first. */
  MAX_EVIDENCE: 128,
  /** Suspects kept of one crash. */
  MAX_SUSPECTS: 32,
  /**
   * Time for which a block holds at first, in ms; longer than evidence lasts.
   * Doubles each time that it is needed again.
   */
  BLOCK_MS: 900_000,
  MAX_BLOCK_MS: 86_400_000,
  /** Blocks in force at the same time. */
  MAX_BLOCKS: 64,
  /** Parts and requests whose last sound answer is remembered. */
  MAX_SOUND_KEYS: 8_192,
} as const;

/** The size to design for, and what a node may spend on control. */
export const TARGET = {
  NODES: 450,
  DATA_CENTRES: 22,
  /** Instances in one data centre. */
  NODES_EACH: 450 / 22,
  UPSTREAMS: 12_000,
  /** Upstreams in one data centre. */
  UPSTREAMS_EACH: 12_000 / 22,
  CUSTOMERS: 410,
  SERVICES: 6,
  /** Requests a second at one node, at the peak. */
  REQUESTS_EACH: 13_000 / 450,
  /** Tokens a second at one node, at the peak. */
  TOKENS_EACH: 5_600_000 / 450,
  /** Batch items a second at one node, spread over the day. */
  ITEMS_EACH: 610_000_000 / 86_400 / 450,
  JOBS_A_DAY: 2_600,
  ITEMS_IN_JOB: 930_000,
  /** Configuration changes a second. */
  CHANGES_A_SECOND: 13_000 / 86_400,
  /** Processor time for control, milliseconds a second. */
  CONTROL_CPU_MS: 21,
  CONTROL_MEMORY_BYTES: 64 * 1_048_576,
  CONTROL_BYTES: 11 * 1_024,
  PLATFORM_WRITES: 400,
  PLATFORM_READS: 2_000,
} as const;

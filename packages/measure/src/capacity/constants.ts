/** The fleet size to design for, and each node's budget for control work. */
export const DESIGN_SIZE = {
  NODES: 450,
  DATA_CENTRES: 22,
  NODES_PER_DATA_CENTRE: 450 / 22,
  UPSTREAMS: 12_000,
  UPSTREAMS_PER_DATA_CENTRE: 12_000 / 22,
  CUSTOMERS: 410,
  SERVICES: 6,
  /** At peak load. */
  REQUESTS_PER_SECOND_PER_NODE: 13_000 / 450,
  /** At peak load. */
  TOKENS_PER_SECOND_PER_NODE: 5_600_000 / 450,
  /** Batch items, averaged over a day. */
  ITEMS_PER_SECOND_PER_NODE: 610_000_000 / 86_400 / 450,
  JOBS_PER_DAY: 2_600,
  ITEMS_PER_JOB: 930_000,
  CONFIG_CHANGES_PER_SECOND: 13_000 / 86_400,
  /** CPU time of a node for control work. */
  CONTROL_CPU_MS_PER_SECOND: 21,
  CONTROL_MEMORY_BYTES: 64 * 1_048_576,
  CONTROL_BYTES_PER_SECOND: 11 * 1_024,
  PLATFORM_WRITES_PER_SECOND: 400,
  PLATFORM_READS_PER_SECOND: 2_000,
} as const;

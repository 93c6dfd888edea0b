/** Scheduling features that measurements disable for comparison. */
export type Policy = {
  /** Whether batch items are cancelled when online work would have to wait. */
  readonly canYield: boolean;
  /** Whether batch items start only while no online request runs here. */
  readonly isBatchExclusive: boolean;
  /** Whether a single FIFO queue replaces the queues per customer. */
  readonly isQueueShared: boolean;
  /** Whether new and newly cold upstreams start from one slot. */
  readonly hasRamp: boolean;
};

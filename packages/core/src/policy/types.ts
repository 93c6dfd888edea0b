/** Parts of the scheduling that measurements switch off to compare. */
export type Policy = {
  /** Batch items are cancelled where online work would wait. */
  readonly canYield: boolean;
  /** Batch items start only while no online request runs here. */
  readonly isBatchExclusive: boolean;
  /** One queue in order of arrival in place of one for each customer. */
  readonly isQueueShared: boolean;
  /** Fresh and newly cold upstreams start from one slot. */
  readonly hasRamp: boolean;
};

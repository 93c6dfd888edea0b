/** When a refusal by the route table can be relied on. */
export const TABLE_TRUST = {
  /** Share of the peers whose watches have to agree with the own one. */
  AGREEING_SHARE: 0.5,
} as const;

/** Types of what operators see of roll-outs. */

/** A roll-out as its service's instances see it, by version. */
export type RolloutFigures = {
  readonly service: string;
  readonly step: string;
  /** Age of the last news of a peer, in ms. */
  readonly evidenceAgeMs: number;
  readonly versions: readonly {
    readonly version: string;
    readonly sent: number;
    readonly answered: number;
    readonly bad: number;
    readonly share: number;
  }[];
};

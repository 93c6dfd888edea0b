/**
 * When a request leaves its data centre: what the caller saves in wait there,
 * against the bytes that cross.
 */

/** Work and room of a data centre, for one service. */
export type DataCentreLoad = {
  readonly dataCentre: string;
  /** Online requests in flight that its instances sent, wherever they run. */
  readonly demand: number;
  /** Slots of its upstreams, counted by their speeds. */
  readonly slots: number;
};

/** What a plan follows from. */
export type LeavingSituation = {
  readonly ownDataCentre: string;
  /** The data centres that are reached, the own one included. */
  readonly loads: readonly DataCentreLoad[];
  /** Slots of one upstream. */
  readonly slotsEach: number;
  readonly meanServiceMs: number;
  /**
   * Requests that come to an upstream between two reports on it: in the own data
   * centre, and in others, whose news is older.
   */
  readonly unseen: { readonly near: number; readonly far: number };
  /** Wait that a caller has to save for a request to leave, in ms. */
  readonly costMs: number;
  /** Whether requests leave already. */
  readonly isLeaving: boolean;
};

/** The part of the requests that goes to another data centre. */
export type LeavingShare = {
  readonly dataCentre: string;
  readonly share: number;
};

/** Which requests leave, and what the first of them save. */
export type LeavingPlan = {
  readonly shares: readonly LeavingShare[];
  /** Wait that a request saves if no other leaves, in ms. */
  readonly gainMs: number;
  /** What leaving has to save by now, in ms. */
  readonly costMs: number;
};

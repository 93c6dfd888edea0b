/** Types of the simulation of placing in fleets of different sizes. */

/** A fleet, and the load of each of its upstreams. */
export type PlacingOptions = {
  readonly edges: number;
  readonly workers: number;
  readonly upstreams: number;
  readonly dataCentres: number;
  /** Online requests per second and upstream: in a lull, and in a burst. */
  readonly lullRate: number;
  readonly burstRate: number;
  /** Items per second and upstream. */
  readonly itemRate: number;
  /** Part of the online requests that comes to each data centre; equal if none. */
  readonly demand?: readonly number[];
  /** Speeds of the upstreams, in turn; all are 1 if there are none. */
  readonly speeds?: readonly number[];
  /** Factor by which an upstream is slower in its slow moments. */
  readonly slowFactor?: number;
  /** Whether instances don't learn speeds, but use one mean service time. */
  readonly isSpeedBlind?: boolean;
  /** As in the settings. */
  readonly crossingMsPerKb?: number;
  /** Whether items leave free what online requests are likely to need. */
  readonly keepsHeadroom: boolean;
  readonly seed: number;
  readonly forMs: number;
  /** Called with each new time, to set what `Date` says. */
  readonly onTime: (nowMs: number) => void;
};

/** What a simulated fleet did. */
export type PlacingCounts = {
  /** Online requests that came, and attempts that they took. */
  requests: number;
  attempts: number;
  /** Attempts that arrived while all slots of their upstream were taken. */
  crowded: number;
  /** Requests whose first event came later than their objective. */
  late: number;
  /** Time from requests' arrival to their first events, in ms. */
  waitMs: number;
  /** Attempts at upstreams of another data centre. */
  crossed: number;
  itemRuns: number;
  itemsDone: number;
  /** How long they took from their job's arrival, all together, in ms. */
  itemsMs: number;
  /** Those of them that were done after they were due. */
  itemsLate: number;
  /** Item runs that gave up their slot to online work. */
  cut: number;
  /** Those of them that gave it up while nothing waited at their upstream. */
  cutInVain: number;
  /** Item runs that arrived while all slots of their upstream were taken. */
  itemsCrowded: number;
  /** Load messages received. */
  messages: number;
};

/** Which instances there are, by their own heartbeats. */
import type { DataCentreId, InstanceId } from "../ids/types.ts";
import type { Table } from "../shared/types.ts";

/** Another instance, as this one last heard of it. */
export type Member = {
  readonly instanceId: InstanceId;
  readonly dataCentre: DataCentreId;
  /** Address of its peer listener, `IP:port`. */
  readonly address: string;
  readonly incarnation: string;
  /** Moment of its last message; 0 while it is only listed. */
  readonly heardMs: number;
  readonly revision: number;
  readonly isStopping: boolean;
  /** Whether its watch of the configuration failed lately. */
  readonly isWatchBroken: boolean;
  /** Whether it has a disk for bulk data. */
  readonly hasDisk: boolean;
};

export type MembershipState = {
  /** Other instances by id. */
  readonly members: Table<Member>;
  readonly nextHeartbeatMs: number;
  /** When a delegate next speaks to the other data centres. */
  readonly nextDelegateMs: number;
  /** Set once a list was seen that names this instance. */
  readonly hasList: boolean;
};

/** What an instance says of itself, several times a second. */
export type Heartbeat = {
  readonly kind: "heartbeat";
  readonly dataCentre: DataCentreId;
  readonly address: string;
  readonly incarnation: string;
  readonly revision: number;
  readonly isStopping: boolean;
  readonly isWatchBroken: boolean;
  /** Whether it has a disk for bulk data. */
  readonly hasDisk: boolean;
};

/** One instance in the platform's lagging list. */
export type ListedInstance = {
  readonly instanceId: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly state: "live" | "leaving";
};

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
  /** Version of its record in the platform; a higher one replaces a lower. */
  readonly number: number;
  /** The sender's clock in its last heartbeat, sent back as an echo. */
  readonly lastSentMs: number;
  /** This instance's own clock in the last heartbeat that it echoed. */
  readonly confirmedMs: number;
  /** Highest number under which it is no longer confirmed. */
  readonly retired: number;
  readonly isListed: boolean;
};

/** Whether this incarnation may hold shares. */
export type IncarnationStatus =
  /** Not yet named in the platform. */
  | "joining"
  | "current"
  /** Another incarnation has taken the name: it never spends again. */
  | "superseded";

export type MembershipState = {
  /** Other instances by id. */
  readonly members: Table<Member>;
  readonly nextHeartbeatMs: number;
  /** When a delegate next speaks to the other data centres. */
  readonly nextDelegateMs: number;
  /** Set once a list was seen that names this instance. */
  readonly hasList: boolean;
  readonly standing: IncarnationStatus;
  /** Version of this incarnation's record in the platform; 0 for none. */
  readonly number: number;
  /** When the last question was asked that the platform confirmed. */
  readonly verifiedMs: number;
  readonly nextVerifyMs: number;
  readonly isCallPending: boolean;
  readonly lastStepMs: number;
  /** End of the last gap between steps; what came before is void. */
  readonly resumedMs: number;
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
  readonly number: number;
  /** The sender's clock. */
  readonly sentMs: number;
  /** What was last heard of the receiver; absent once it is retired. */
  readonly echo?: { readonly number: number; readonly sentMs: number };
};

/** The value of an instance's record in the platform. */
export type InstanceRecord = {
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly state: "live" | "retired";
};

/** One instance in the platform's lagging list. */
export type ListedInstance = {
  readonly instanceId: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly state: "live" | "leaving";
};

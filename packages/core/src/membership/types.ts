/** Types of the membership protocol, which is based on heartbeats. */
import type { DataCentreId, InstanceId } from "../ids/types.ts";
import type { Table } from "../shared/types.ts";

/** Another instance, as last reported to this one. */
export type Member = {
  readonly instanceId: InstanceId;
  readonly dataCentre: DataCentreId;
  /** Address of the peer listener, `IP:port`. */
  readonly address: string;
  readonly incarnation: string;
  /** Time of the last heartbeat; 0 if it is listed but was never seen. */
  readonly lastSeenMs: number;
  readonly revision: number;
  readonly isStopping: boolean;
  /** Whether its configuration watch failed recently. */
  readonly isWatchBroken: boolean;
  /** Whether it has a disk for bulk data. */
  readonly hasDisk: boolean;
  /** Version of its record in the platform. A higher one supersedes a lower. */
  readonly number: number;
  /** Send time of its last heartbeat by its own clock, returned as an echo. */
  readonly lastSentMs: number;
  /** Send time, by this instance's clock, of the last heartbeat it echoed. */
  readonly confirmedMs: number;
  /** Incarnation numbers up to this one are no longer confirmed by echoes. */
  readonly retired: number;
  readonly isListed: boolean;
};

/** Whether this incarnation holds the instance record and may use shares. */
export type IncarnationStatus =
  /** Not yet registered in the platform. */
  | "joining"
  | "current"
  /** Another incarnation took over the id. Final: shares stay unused. */
  | "superseded";

export type MembershipState = {
  /** Other instances by id. */
  readonly members: Table<Member>;
  readonly nextHeartbeatMs: number;
  /** Time of the next heartbeat to other data centres, if a delegate. */
  readonly nextDelegateMs: number;
  /** Set once an instance list has included this instance. */
  readonly isSelfListed: boolean;
  readonly incarnationStatus: IncarnationStatus;
  /** Version of this incarnation's record in the platform; 0 for none. */
  readonly number: number;
  /** Time of the last request by which the platform confirmed the record. */
  readonly verifiedMs: number;
  readonly nextVerifyMs: number;
  readonly isCallPending: boolean;
  readonly lastStepMs: number;
  /** End of the last gap between steps. Earlier confirmations are invalid. */
  readonly resumedMs: number;
};

/** Message with an instance's own state, sent several times a second. */
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
  /** Send time, by the sender's clock. */
  readonly sentMs: number;
  /** Echo of the receiver's last heartbeat. Absent once it is retired. */
  readonly echo?: { readonly number: number; readonly sentMs: number };
};

/** Value of an instance's record in the platform. */
export type InstanceRecord = {
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly state: "live" | "retired";
};

/** An instance in the platform's list, which may lag behind. */
export type ListedInstance = {
  readonly instanceId: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly state: "live" | "leaving";
};

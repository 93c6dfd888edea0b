/**
 * Types of claims. A non-idempotent request with an idempotency key is recorded
 * in the platform's store before its first attempt, so that it runs at most
 * once.
 */
import type { InstanceId, WorkId } from "../ids/types.ts";
import type { ShardedTable } from "../sharded/types.ts";
import type { Table } from "../shared/types.ts";

/** Value of a group's record, stored under `claims/<group>/<number>`. */
export type ClaimRecord = {
  /** Whether the record is full, so that claims go to the next one. */
  readonly isClosed: boolean;
  /** Token of the request that holds each key; empty after a release. */
  readonly claims: Table<string>;
};

/** A claim or release that a group owner has yet to process. */
export type PendingClaim = {
  readonly claimKey: string;
  /** Identifies the request, so that repeated claim requests are idempotent. */
  readonly token: string;
  readonly from: InstanceId;
  /** Whether to release the claim of a request that did not run. */
  readonly isRelease: boolean;
  /** Time of the latest request for it, by the group owner's clock. */
  readonly requestedMs: number;
};

/** State of a claim group at its owner. */
export type ClaimGroup = {
  /** Token that holds each key, over all records of the group. */
  readonly holders: ShardedTable<string>;
  /** Number of the record that new claims are added to. */
  readonly number: number;
  readonly version: number;
  readonly claims: Table<string>;
  readonly leaseId: string | undefined;
  readonly isLoaded: boolean;
  readonly isCallPending: boolean;
  readonly pending: readonly PendingClaim[];
  /** Claims of the write in flight. */
  readonly writing: readonly PendingClaim[];
  readonly nextFlushMs: number;
};

/** A request waiting for its claim. */
export type WaitingRequest = {
  readonly workId: WorkId;
  readonly claimKey: string;
  readonly startedMs: number;
  readonly retryCount: number;
  readonly nextRetryMs: number;
};

export type ClaimsState = {
  /** Requests of this instance that are waiting for a claim, by work id. */
  readonly waitingRequests: Table<WaitingRequest>;
  /** Groups for which this instance received claims, by group id. */
  readonly groups: Table<ClaimGroup>;
};

/** Outcome of a claim. */
export type ClaimVerdict =
  | "granted"
  /** Another request holds the key and may have run. */
  | "taken"
  /** No verdict arrived in time, for example as the store did not answer. */
  | "unavailable";

/** Message that requests a claim from a group owner. */
export type ClaimRequest = {
  readonly kind: "claim-asked";
  readonly claimKey: string;
  readonly token: string;
};

/** Message that releases the claim of a request that ended without running. */
export type ClaimRelease = {
  readonly kind: "claim-dropped";
  readonly claimKey: string;
  readonly token: string;
};

/** Message with the verdict, sent to the requesting instance. */
export type ClaimAnswer = {
  readonly kind: "claim-answered";
  readonly token: string;
  readonly verdict: ClaimVerdict;
};

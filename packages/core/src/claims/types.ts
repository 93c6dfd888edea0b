/**
 * Claims: a non-idempotent request that comes with a key is entered in the
 * platform's store before its first attempt, so that it runs at most once.
 */
import type { InstanceId, WorkId } from "../ids/types.ts";
import type { ShardedTable } from "../sharded/types.ts";
import type { Table } from "../shared/types.ts";

/** One record of a group, `claims/<group>/<number>`. */
export type ClaimRecord = {
  /** No claim is added any more: the next record is the last one. */
  readonly isClosed: boolean;
  /** Who claimed each key; empty once it was taken back. */
  readonly claims: Table<string>;
};

/** A claim that is asked of a home instance. */
export type PendingClaim = {
  readonly claimKey: string;
  /** Names the request, so that it is known when it asks again. */
  readonly token: string;
  readonly from: InstanceId;
  /** Takes back the claim of a request that surely did not run. */
  readonly isRelease: boolean;
  /** When it was last asked, home's clock. */
  readonly requestedMs: number;
};

/** A group of keys as its home instance knows it. */
export type ClaimGroup = {
  /** Every claim of the group's records. */
  readonly holders: ShardedTable<string>;
  /** The record that claims are added to. */
  readonly number: number;
  readonly version: number;
  readonly claims: Table<string>;
  readonly leaseId: string | undefined;
  readonly isLoaded: boolean;
  readonly isCallPending: boolean;
  readonly pending: readonly PendingClaim[];
  /** Claims of the write that is on its way. */
  readonly writing: readonly PendingClaim[];
  readonly nextFlushMs: number;
};

/** A request that waits for its claim. */
export type WaitingRequest = {
  readonly workId: WorkId;
  readonly claimKey: string;
  readonly startedMs: number;
  readonly retryCount: number;
  readonly nextRetryMs: number;
};

export type ClaimsState = {
  /** Requests of this instance that wait for their claim. */
  readonly waitingRequests: Table<WaitingRequest>;
  /** Groups that were asked of this instance. */
  readonly groups: Table<ClaimGroup>;
};

/** How a claim ended. */
export type ClaimVerdict =
  | "granted"
  /** Another request has the key: it may have run. */
  | "taken"
  /** The store gave no answer. */
  | "unavailable";

/** Asks a home instance for a claim. */
export type ClaimRequest = {
  readonly kind: "claim-asked";
  readonly claimKey: string;
  readonly token: string;
};

/** Takes a claim back: its request ended without having run. */
export type ClaimRelease = {
  readonly kind: "claim-dropped";
  readonly claimKey: string;
  readonly token: string;
};

/** Answers the instance that asked. */
export type ClaimAnswer = {
  readonly kind: "claim-answered";
  readonly token: string;
  readonly verdict: ClaimVerdict;
};

import type {
  AttemptId,
  InstanceId,
  InstanceState,
  PeerMessage,
  RunRecord,
  WorkId,
  WorkOrder,
} from "@gooseberryline/core";
import type { Admission, CallerView, EngineRun } from "./types.ts";

/** What callers and engines saw, kept outside the program under test. */
export class WorldLedger {
  readonly #calls = new Map<WorkId, CallerView>();
  readonly #runs = new Map<AttemptId, EngineRun>();
  readonly runRecords: RunRecord[] = [];
  readonly admissions: Admission[] = [];
  readonly #peerMessages = new Map<PeerMessage["kind"], number>();

  get calls(): readonly CallerView[] {
    return [...this.#calls.values()];
  }

  get runs(): readonly EngineRun[] {
    return [...this.#runs.values()];
  }

  /** Notes what a step admitted against customers' rates and bursts. */
  noteAdmissions(
    before: InstanceState["limits"],
    { limits, self }: InstanceState,
    nowMs: number,
  ): void {
    if (before === limits) {
      return;
    }
    Object.entries(limits).forEach(([customer, limit]) => {
      const count = limit.admitted - (before[customer]?.admitted ?? 0);
      if (count > 0) {
        const { instanceId } = self;
        this.admissions.push({ customer, instanceId, count, atMs: nowMs });
      }
    });
  }

  notePeerMessage({ kind }: PeerMessage): void {
    this.#peerMessages.set(kind, this.countPeerMessages(kind) + 1);
  }

  /** Messages of a kind that instances sent each other. */
  countPeerMessages(kind: PeerMessage["kind"]): number {
    return this.#peerMessages.get(kind) ?? 0;
  }

  findCall(workId: WorkId): CallerView | undefined {
    return this.#calls.get(workId);
  }

  noteArrival(order: WorkOrder, instanceId: InstanceId, nowMs: number): void {
    this.#calls.set(order.workId, {
      order,
      instanceId,
      arrivedMs: nowMs,
      firstTokenMs: undefined,
      endedMs: undefined,
      end: undefined,
    });
  }

  noteFirstToken(workId: WorkId, nowMs: number): void {
    const call = this.#calls.get(workId);
    if (call !== undefined && call.firstTokenMs === undefined) {
      this.#calls.set(workId, { ...call, firstTokenMs: nowMs });
    }
  }

  /** Notes a request's end; a second end is a fault of the program. */
  noteEnd(workId: WorkId, end: CallerView["end"], nowMs: number): void {
    const call = this.#calls.get(workId);
    if (call === undefined) {
      return;
    }
    if (call.end !== undefined) {
      throw new Error(`request ${workId} ended twice`);
    }
    this.#calls.set(workId, { ...call, end, endedMs: nowMs });
  }

  noteRun(run: EngineRun): void {
    this.#runs.set(run.attemptId, run);
  }

  noteRunEnd(attemptId: AttemptId, isWhole: boolean, nowMs: number): void {
    const run = this.#runs.get(attemptId);
    if (run !== undefined && run.endedMs === undefined) {
      this.#runs.set(attemptId, { ...run, isWhole, endedMs: nowMs });
    }
  }
}

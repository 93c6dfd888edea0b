import type {
  AttemptId,
  InstanceId,
  InstanceState,
  JobId,
  OfferAnswer,
  PeerMessage,
  RunRecord,
  WorkId,
  WorkOrder,
} from "@gooseberryline/core";
import type {
  Admission,
  EngineRun,
  RequestRecord,
  StoredLine,
} from "./types.ts";

/** Records what callers and engines observe, independently of the core. */
export class WorldLedger {
  readonly #calls = new Map<WorkId, RequestRecord>();
  readonly #runs = new Map<AttemptId, EngineRun>();
  readonly #messages = new Map<string, { count: number; bytes: number }>();
  readonly runRecords: RunRecord[] = [];
  /** Lines of the output files built for finished jobs. */
  readonly outputs = new Map<JobId, readonly StoredLine[]>();
  readonly jobAnswers: {
    readonly offerId: string;
    readonly answer: OfferAnswer;
  }[] = [];
  readonly admissions: Admission[] = [];

  get calls(): readonly RequestRecord[] {
    return [...this.#calls.values()];
  }

  get runs(): readonly EngineRun[] {
    return [...this.#runs.values()];
  }

  /** Returns the number of peer messages of a kind. */
  countMessages(kind: PeerMessage["kind"]): number {
    return this.#messages.get(kind)?.count ?? 0;
  }

  /** Returns the JSON length of a kind's messages; heartbeats count as 0. */
  countBytes(kind: PeerMessage["kind"]): number {
    return this.#messages.get(kind)?.bytes ?? 0;
  }

  recordMessage(message: PeerMessage): void {
    const { kind } = message;
    const before = this.#messages.get(kind) ?? { count: 0, bytes: 0 };
    before.count += 1;
    before.bytes += kind === "heartbeat" ? 0 : JSON.stringify(message).length;
    this.#messages.set(kind, before);
  }

  /** Records requests that a step admitted against customers' rate limits. */
  recordAdmissions(
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

  findCall(workId: WorkId): RequestRecord | undefined {
    return this.#calls.get(workId);
  }

  recordArrival(order: WorkOrder, instanceId: InstanceId, nowMs: number): void {
    this.#calls.set(order.workId, {
      order,
      instanceId,
      arrivedMs: nowMs,
      firstTokenMs: undefined,
      endedMs: undefined,
      end: undefined,
    });
  }

  recordFirstToken(workId: WorkId, nowMs: number): void {
    const call = this.#calls.get(workId);
    if (call !== undefined && call.firstTokenMs === undefined) {
      this.#calls.set(workId, { ...call, firstTokenMs: nowMs });
    }
  }

  /** Records a request's end; throws if the request has already ended. */
  recordEnd(workId: WorkId, end: RequestRecord["end"], nowMs: number): void {
    const call = this.#calls.get(workId);
    if (call === undefined) {
      return;
    }
    if (call.end !== undefined) {
      throw new Error(`request ${workId} has already ended`);
    }
    this.#calls.set(workId, { ...call, end, endedMs: nowMs });
  }

  /** Marks the requests in flight on a killed instance as lost. */
  recordLostRequests(id: InstanceId, nowMs: number): void {
    this.calls
      .filter((call) => call.instanceId === id && call.end === undefined)
      .forEach(({ order }) => {
        this.recordEnd(order.workId, { kind: "lost" }, nowMs);
      });
  }

  recordRun(run: EngineRun): void {
    this.#runs.set(run.attemptId, run);
  }

  recordRunEnd(attemptId: AttemptId, isComplete: boolean, nowMs: number): void {
    const run = this.#runs.get(attemptId);
    if (run !== undefined && run.endedMs === undefined) {
      this.#runs.set(attemptId, {
        ...run,
        isComplete,
        endedMs: nowMs,
      });
    }
  }
}

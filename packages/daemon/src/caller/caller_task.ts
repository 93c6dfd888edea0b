import type { ServerResponse } from "node:http";
import type {
  InstanceEvent,
  Refusal,
  WorkId,
  WorkOrder,
} from "@gooseberryline/core";
import type { AttemptCall } from "../tasks/types.ts";
import { Exchange } from "./exchange.ts";
import type { RequestEnd, RequestReport } from "./types.ts";

type Open = {
  readonly exchange: Exchange;
  readonly order: WorkOrder;
  readonly startedMs: number;
  firstWriteMs: number | undefined;
  end: RequestEnd;
};

/** Owns the callers' open requests. */
export class CallerTask {
  readonly #post: (event: InstanceEvent) => void;
  readonly #report: (report: RequestReport) => void;
  readonly #open = new Map<WorkId, Open>();

  constructor(
    post: (event: InstanceEvent) => void,
    report: (report: RequestReport) => void = () => undefined,
  ) {
    this.#post = post;
    this.#report = report;
  }

  /** Hands a request to the core; resolves when its answer has ended. */
  async answer(
    order: WorkOrder,
    res: ServerResponse,
    call: AttemptCall,
  ): Promise<void> {
    const { workId } = order;
    const exchange = new Exchange(call, res, () => {
      open.firstWriteMs = performance.now();
    });
    const open: Open = {
      exchange,
      order,
      startedMs: performance.now(),
      firstWriteMs: undefined,
      end: { kind: "abandoned" },
    };
    this.#open.set(workId, open);
    res.once("close", () => this.#abandon(workId));
    if (res.destroyed) {
      this.#abandon(workId);
      return;
    }
    this.#post({ kind: "request-arrived", order });
    await exchange.ended;
    this.#tell(open, res);
  }

  find(workId: WorkId): Exchange | undefined {
    return this.#open.get(workId)?.exchange;
  }

  complete(workId: WorkId): void {
    this.#take(workId, { kind: "answered" })?.complete();
  }

  refuse(workId: WorkId, refusal: Refusal): void {
    this.#take(workId, { kind: "refused", refusal })?.refuse(refusal);
  }

  #abandon(workId: WorkId): void {
    const exchange = this.#take(workId, { kind: "abandoned" });
    if (exchange !== undefined) {
      exchange.drop();
      this.#post({ kind: "request-abandoned", workId });
    }
  }

  #take(workId: WorkId, end: RequestEnd): Exchange | undefined {
    const open = this.#open.get(workId);
    this.#open.delete(workId);
    if (open !== undefined) {
      open.end = end;
    }
    return open?.exchange;
  }

  #tell(open: Open, res: ServerResponse): void {
    const { exchange, order, startedMs, firstWriteMs, end } = open;
    this.#report({
      requestId: String(res.getHeader("x-request-id")),
      order,
      status: exchange.status,
      end,
      firstWriteMs:
        firstWriteMs === undefined ? undefined : firstWriteMs - startedMs,
      upstreams: exchange.upstreams,
      totalMs: performance.now() - startedMs,
    });
  }
}

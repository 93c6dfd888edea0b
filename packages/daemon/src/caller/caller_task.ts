import type { ServerResponse } from "node:http";
import type {
  InstanceEvent,
  Refusal,
  WorkId,
  WorkOrder,
} from "@gooseberryline/core";
import type { AttemptCall } from "../tasks/types.ts";
import { Exchange } from "./exchange.ts";

/** Owns the callers' open requests. */
export class CallerTask {
  readonly #post: (event: InstanceEvent) => void;
  readonly #exchanges = new Map<WorkId, Exchange>();

  constructor(post: (event: InstanceEvent) => void) {
    this.#post = post;
  }

  /** Hands a request to the core; resolves when its answer has ended. */
  async answer(
    order: WorkOrder,
    res: ServerResponse,
    call: AttemptCall,
  ): Promise<void> {
    const { workId } = order;
    const exchange = new Exchange(call, res);
    this.#exchanges.set(workId, exchange);
    res.once("close", () => {
      const isGone = this.#exchanges.delete(workId);
      if (isGone) {
        this.#post({ kind: "request-abandoned", workId });
      }
    });
    this.#post({ kind: "request-arrived", order });
    await exchange.ended;
  }

  find(workId: WorkId): Exchange | undefined {
    return this.#exchanges.get(workId);
  }

  complete(workId: WorkId): void {
    this.#take(workId)?.complete();
  }

  refuse(workId: WorkId, refusal: Refusal): void {
    this.#take(workId)?.refuse(refusal);
  }

  #take(workId: WorkId): Exchange | undefined {
    const exchange = this.#exchanges.get(workId);
    this.#exchanges.delete(workId);
    return exchange;
  }
}

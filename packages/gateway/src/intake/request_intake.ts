import type { IncomingMessage } from "node:http";
import { countHeaderBytes } from "../http/count_header_bytes.ts";
import { BodyIntake, type BodyRead } from "./body_intake.ts";
import type { ByteBudget } from "./byte_budget.ts";
import { INTAKE_CONSTANTS } from "./constants.ts";
import { dropHead } from "./drop_head.ts";
import type { Holding } from "./types.ts";

type RequestPlace = {
  readonly maxBytes: number;
  /** Whether it is the first on its connection that is not over. */
  readonly isFirst: boolean;
};

/**
 * What a request holds from its head to the end of its answer. It gives way while it
 * waits behind others of its connection, or its body is not complete: then nothing
 * of it has been passed on.
 */
export class RequestIntake {
  readonly #req: IncomingMessage;
  readonly #holding: Holding;
  readonly #body: BodyIntake;
  #isInTurn = false;
  /** Whether there is room for its head; without, nothing of it is counted. */
  readonly hasRoom: boolean;
  /** Length of the request's headers. */
  readonly headerBytes: number;

  /**
   * `maxBytes` limits the body. Nothing gives way to a request ahead of its turn: what
   * waits on other connections is held until these have closed.
   */
  constructor(
    req: IncomingMessage,
    budget: ByteBudget,
    { maxBytes, isFirst }: RequestPlace,
  ) {
    this.#req = req;
    this.#holding = budget.open({
      onYield: () => this.#yield(),
      onStall: () => this.#body.abandon("stalled"),
      isPaused: () => req.socket.isPaused(),
    });
    this.headerBytes = countHeaderBytes(req.rawHeaders);
    const bytes = INTAKE_CONSTANTS.REQUEST_OVERHEAD + this.headerBytes;
    this.hasRoom = isFirst
      ? this.#holding.take(bytes)
      : this.#holding.takeFree(bytes);
    // It may be settled at once, when its turn has not come.
    this.#body = new BodyIntake(req, this.#holding, maxBytes, () => {
      if (this.#isInTurn) {
        this.#holding.keep();
      }
    });
    if (!this.hasRoom) {
      this.#body.abandon("crowded");
    }
  }

  /** Whether the body is complete, or will not be. */
  get isSettled(): boolean {
    return this.#body.isSettled;
  }

  /** Its turn has come among the requests of its connection. */
  beginTurn(): void {
    this.#isInTurn = true;
    if (this.#body.isSettled) {
      this.#holding.keep();
    }
  }

  /** Waits for the body, or for what became of it. */
  read(): Promise<BodyRead> {
    return this.#body.read();
  }

  /**
   * Gives back all room; what comes of the body later is dropped. One whose turn has
   * not come is held by the runtime until its connection has closed, which is after
   * this turn of the event loop.
   */
  end(): void {
    this.#body.abandon("aborted");
    const release = (): void => this.#holding.release();
    if (this.#isInTurn) {
      release();
    } else {
      setImmediate(() => setImmediate(release));
    }
  }

  #yield(): void {
    if (this.#isInTurn) {
      this.#body.abandon("crowded");
    } else {
      this.#body.abandon("aborted");
      dropHead(this.#req);
      this.#req.socket.destroy();
    }
  }
}

import { RequestTurn } from "@gooseberryline/gateway";
import type { CallTally } from "./call_tally.ts";
import type { Call, CallCounts } from "./types.ts";

/** One try of a call at an instance, until its first event or its end. */
export class VirtualTry {
  readonly call: Call;
  readonly turn = new RequestTurn();
  readonly #tally: CallTally;
  #isOver = false;
  /** Cancels its run at an upstream. */
  cancelRun: () => void = () => undefined;

  constructor(call: Call, tally: CallTally) {
    this.call = call;
    this.#tally = tally;
  }

  /** Its first event has come: counts it by when. */
  begin(name: keyof CallCounts): void {
    if (!this.#isOver) {
      this.#isOver = true;
      this.#tally.record(this.call, name);
    }
  }

  /** Ends it before its first event; counts the call's end if there is one. */
  end(name: keyof CallCounts | undefined): void {
    if (this.#isOver) {
      return;
    }
    this.#isOver = true;
    if (name !== undefined) {
      this.#tally.record(this.call, name);
    }
    this.cancelRun();
    this.turn.end();
  }
}

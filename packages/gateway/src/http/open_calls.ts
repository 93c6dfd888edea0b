import type { Socket } from "node:net";

/** What runs for a call. */
type Run = { readonly expire: (reason: string) => void };

/** A call in flight. */
type OpenCall = {
  readonly setRun: (run: Run) => void;
  readonly remove: () => void;
  /** Whether other calls are in flight on the same connection. */
  readonly hasOthers: () => boolean;
};

/** The callers' requests in flight, with their connections. */
export class OpenCalls {
  readonly #calls = new Map<symbol, Run | undefined>();
  readonly #bySocket = new Map<Socket, number>();

  add(socket: Socket): OpenCall {
    const id = Symbol("call");
    this.#calls.set(id, undefined);
    this.#bySocket.set(socket, this.#countAt(socket) + 1);
    return {
      setRun: (run) => {
        this.#calls.set(id, run);
      },
      remove: () => {
        this.#calls.delete(id);
        const left = this.#countAt(socket) - 1;
        if (left > 0) {
          this.#bySocket.set(socket, left);
        } else {
          this.#bySocket.delete(socket);
        }
      },
      hasOthers: () => this.#countAt(socket) > 0,
    };
  }

  count(): number {
    return this.#calls.size;
  }

  expireAll(reason: string): void {
    [...this.#calls.values()].forEach((run) => {
      run?.expire(reason);
    });
  }

  #countAt(socket: Socket): number {
    return this.#bySocket.get(socket) ?? 0;
  }
}

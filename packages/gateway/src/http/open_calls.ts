/** What runs for a call. */
type Run = { readonly expire: (reason: string) => void };

/** A call in flight. */
type OpenCall = {
  readonly setRun: (run: Run) => void;
  readonly remove: () => void;
};

/** The callers' requests in flight. */
export class OpenCalls {
  readonly #calls = new Map<symbol, Run | undefined>();

  add(): OpenCall {
    const id = Symbol("call");
    this.#calls.set(id, undefined);
    return {
      setRun: (run) => {
        this.#calls.set(id, run);
      },
      remove: () => {
        this.#calls.delete(id);
      },
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
}

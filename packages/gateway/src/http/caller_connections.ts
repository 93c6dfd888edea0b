import type { Socket } from "node:net";

/** What is known of a connection of a caller. */
type Connection = {
  /** Calls that have arrived on it and aren't over. */
  openCalls: number;
  /** Settled when the last of them is over. */
  lastCall: Promise<void>;
  /** When the last call was over, or the connection was opened. */
  idleSinceMs: number;
  /** Bytes that had been read from it at that time. */
  idleBytes: number;
};

/** A call's place among those of its connection. */
type CallPlace = {
  /** Settled when the calls before it on the connection are over. */
  readonly previous: Promise<void>;
  /** Whether no other call has arrived on the connection behind it. */
  readonly isLast: () => boolean;
  /** Ends the call's place; later calls of this function do nothing. */
  readonly end: () => void;
};

/** The callers' open connections, each with its calls. */
export class CallerConnections {
  readonly #readNowMs: () => number;
  readonly #connections = new Map<Socket, Connection>();

  constructor(readNowMs: () => number) {
    this.#readNowMs = readNowMs;
  }

  add(socket: Socket): void {
    this.#connections.set(socket, {
      openCalls: 0,
      lastCall: Promise.resolve(),
      idleSinceMs: this.#readNowMs(),
      idleBytes: 0,
    });
    socket.once("close", () => this.#connections.delete(socket));
  }

  /** Places a call behind those that have arrived on its connection before. */
  placeCall(socket: Socket): CallPlace {
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      const previous = Promise.resolve();
      return { previous, isLast: () => true, end: () => undefined };
    }
    const previous = connection.lastCall;
    const state = { isOver: false, settle: (): void => undefined };
    const own = new Promise<void>((resolve) => {
      state.settle = resolve;
    });
    connection.lastCall = own;
    connection.openCalls += 1;
    const end = (): void => {
      if (!state.isOver) {
        state.isOver = true;
        connection.openCalls -= 1;
        connection.idleSinceMs = this.#readNowMs();
        connection.idleBytes = socket.bytesRead;
        state.settle();
      }
    };
    return { previous, isLast: () => connection.lastCall === own, end };
  }

  /** Whether a connection without a call had one in the last `idleMs`. */
  hasRecent(idleMs: number): boolean {
    return [...this.#connections].some(
      ([, connection]) =>
        connection.idleBytes > 0 &&
        connection.openCalls === 0 &&
        this.#countIdleMs(connection) < idleMs,
    );
  }

  /**
   * Closes the connections that have had no call, nor a byte of one, for
   * `idleMs`. Nothing more is read from them, so no call can be lost in it.
   */
  closeIdle(idleMs: number): void {
    [...this.#connections]
      .filter(
        ([socket, connection]) =>
          connection.openCalls === 0 &&
          connection.idleBytes === socket.bytesRead &&
          this.#countIdleMs(connection) >= idleMs,
      )
      .forEach(([socket]) => {
        socket.destroy();
      });
  }

  #countIdleMs({ idleSinceMs }: Connection): number {
    return this.#readNowMs() - idleSinceMs;
  }
}

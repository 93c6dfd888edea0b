import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { INTAKE_CONSTANTS } from "../intake/constants.ts";
import { dropHead } from "../intake/drop_head.ts";
import type { CloseReason } from "./types.ts";
import { watchParser } from "./watch_parser.ts";

/** What is known of a connection. */
type Connection = {
  /** Calls that have arrived on it and aren't over. */
  openCalls: number;
  /** Settled when the last of them is over. */
  lastCall: Promise<void>;
  /** When the last call was over, or the connection was opened. */
  idleSinceMs: number;
  /** Bytes that had been read from it at that time. */
  idleBytes: number;
  /** Bytes that had been read with the last head, or piece of a body. */
  parsedBytes: number;
  /** The request whose body may still come when it is answered. */
  openRequest: IncomingMessage | undefined;
  /** Whether nothing is read from it while so many calls wait. */
  isPaused: boolean;
  /** Whether no further call is taken, since one had no room. */
  isClosing: boolean;
};

/** A call's place among those of its connection. */
type CallPlace = {
  /** Settled when the calls before it on the connection are over. */
  readonly previous: Promise<void>;
  /** Whether no call before it was open when it arrived. */
  readonly isFirst: boolean;
  /** Takes no further call on the connection, which closes behind this one. */
  readonly refuse: () => void;
  /** Whether no other call has arrived on the connection behind it. */
  readonly isLast: () => boolean;
  /** Ends the call's place; later calls of this function do nothing. */
  readonly end: () => void;
};

type ConnectionsParts = {
  readonly readNowMs: () => number;
  /** Connections that may be open at once. */
  readonly max: number;
  /** Calls that may be open on a connection before it is closed. */
  readonly maxAhead?: number;
  /** Makes one of those with calls give way; returns false if none can. */
  readonly yieldOne?: () => boolean;
  readonly onClosed?: ((reason: CloseReason) => void) | undefined;
};

const warned = { isWarned: false };

/** A warning of the process, not of a listener: it is about the runtime. */
function reportUnwatched(): void {
  if (!warned.isWarned) {
    warned.isWarned = true;
    process.emitWarning("requests ahead are bounded only by pauses of reading");
  }
}

/** The open connections of a listener, each with its calls. */
export class Connections {
  readonly #parts: ConnectionsParts;
  /** Those that are idle for longest come first. */
  readonly #connections = new Map<Socket, Connection>();

  constructor(parts: ConnectionsParts) {
    this.#parts = parts;
  }

  /** Watches the connections of a server. */
  watch(server: Server): void {
    server.on("connection", (socket) => this.add(socket));
  }

  add(socket: Socket): void {
    if (this.#connections.size >= this.#parts.max) {
      this.#parts.onClosed?.("too-many");
      if (!this.#closeLongestIdle() && this.#parts.yieldOne?.() !== true) {
        socket.destroy();
        return;
      }
    }
    if (!watchParser(socket, () => this.#canTakeNext(socket))) {
      reportUnwatched();
    }
    const connection: Connection = {
      openCalls: 0,
      lastCall: Promise.resolve(),
      idleSinceMs: this.#parts.readNowMs(),
      idleBytes: 0,
      parsedBytes: 0,
      openRequest: undefined,
      isPaused: false,
      isClosing: false,
    };
    this.#connections.set(socket, connection);
    // The runtime resumes it for each body.
    socket.on("resume", () => {
      if (connection.isPaused) {
        socket.pause();
      }
    });
    socket.once("close", () => this.#connections.delete(socket));
  }

  /** Places a call behind those that have arrived on its connection before. */
  placeCall(req: IncomingMessage): CallPlace {
    const { socket } = req;
    const connection = this.#connections.get(socket);
    if (connection === undefined) {
      const previous = Promise.resolve();
      const isLast = (): boolean => true;
      const refuse = (): void => dropHead(req);
      const isFirst = true;
      return { previous, isFirst, refuse, isLast, end: () => undefined };
    }
    const previous = connection.lastCall;
    const isFirst = connection.openCalls === 0;
    const state = { isOver: false, settle: (): void => undefined };
    const own = new Promise<void>((resolve) => {
      state.settle = resolve;
    });
    connection.lastCall = own;
    connection.openCalls += 1;
    connection.openRequest = req;
    const noteParsed = (): void => {
      connection.parsedBytes = socket.bytesRead;
    };
    noteParsed();
    req.on("data", noteParsed);
    req.once("end", () => {
      noteParsed();
      // Its head may be long, and the connection may stay.
      if (connection.openRequest === req) {
        connection.openRequest = undefined;
      }
    });
    if (connection.openCalls >= INTAKE_CONSTANTS.PAUSED_AHEAD) {
      connection.isPaused = true;
      socket.pause();
    }
    const end = (): void => {
      if (!state.isOver) {
        state.isOver = true;
        connection.openCalls -= 1;
        connection.idleSinceMs = this.#parts.readNowMs();
        connection.idleBytes = socket.bytesRead;
        if (!req.complete) {
          // Until then what comes is of its body, which is dropped.
          req.once("end", () => {
            connection.idleBytes = socket.bytesRead;
          });
        }
        this.#resume(socket, connection);
        state.settle();
      }
    };
    const isLast = (): boolean => connection.lastCall === own;
    const refuse = (): void => {
      connection.isClosing = true;
      this.#parts.onClosed?.("no-room");
      dropHead(req);
      if (!isFirst) {
        // The call would be held until those before it are over.
        socket.destroy();
      }
    };
    return { previous, isFirst, refuse, isLast, end };
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
          connection.openRequest?.complete !== false &&
          connection.idleBytes === socket.bytesRead &&
          this.#countIdleMs(connection) >= idleMs,
      )
      .forEach(([socket]) => {
        socket.destroy();
      });
  }

  /**
   * Closes connections while the heads and trailers that have not come to their end
   * are longer than `maxBytes` together, those first that are idle for longest.
   */
  sweepHeads(maxBytes: number): void {
    const open = [...this.#connections]
      .map(([socket, { parsedBytes }]) => ({
        socket,
        bytes: socket.bytesRead - parsedBytes,
      }))
      .filter(({ bytes }) => bytes > 0);
    let bytes = open.reduce((sum, head) => sum + head.bytes, 0);
    open
      .filter((head) => {
        const isOver = bytes > maxBytes;
        bytes -= isOver ? head.bytes : 0;
        return isOver;
      })
      .forEach(({ socket }) => {
        this.#parts.onClosed?.("heads-too-long");
        socket.destroy();
      });
  }

  /** Reads on, or moves an idle connection behind those idle for longer. */
  #resume(socket: Socket, connection: Connection): void {
    const { PAUSED_AHEAD } = INTAKE_CONSTANTS;
    if (connection.isPaused && connection.openCalls < PAUSED_AHEAD) {
      connection.isPaused = false;
      socket.resume();
    }
    if (connection.openCalls === 0 && this.#connections.delete(socket)) {
      this.#connections.set(socket, connection);
    }
  }

  /** Whether one more call may arrive on a connection; closes it if not. */
  #canTakeNext(socket: Socket): boolean {
    const { openCalls = 0, isClosing } = this.#connections.get(socket) ?? {};
    const { maxAhead = INTAKE_CONSTANTS.MAX_AHEAD, onClosed } = this.#parts;
    if (openCalls < maxAhead && isClosing !== true) {
      return true;
    }
    if (isClosing !== true) {
      onClosed?.("too-far-ahead");
    }
    socket.destroy();
    return false;
  }

  #closeLongestIdle(): boolean {
    const [socket] =
      [...this.#connections].find(([, { openCalls }]) => openCalls === 0) ?? [];
    socket?.destroy();
    // Its descriptor is free before the next connection is accepted.
    return socket !== undefined && this.#connections.delete(socket);
  }

  #countIdleMs({ idleSinceMs }: Connection): number {
    return this.#parts.readNowMs() - idleSinceMs;
  }
}

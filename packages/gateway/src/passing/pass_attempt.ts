import type { StreamOrigin } from "@gooseberryline/core";
import type { CallDialect, ResponseHead } from "../dialect/types.ts";
import type { ExchangeEnd, ExchangeHead } from "../exchange/types.ts";
import { UpstreamExchange } from "../exchange/upstream_exchange.ts";
import type { AttemptParts } from "../requests/attempt.ts";
import type { AdmittedCall, CallError } from "../requests/types.ts";
import { buildPassOptions, type PassWork } from "./build_pass_options.ts";
import { PASSING } from "./constants.ts";
import { dropPassHeaders } from "./drop_pass_headers.ts";
import { passError } from "./pass_error.ts";

/** Statuses with which a peer says that it can't serve, though others may. */
const UNABLE: readonly number[] = [429, 503];

export type PassEvents = {
  readonly onHead: (head: ExchangeHead) => void;
  readonly onChunk: (chunk: Buffer) => boolean;
  readonly onEnd: (end: ExchangeEnd) => void;
  /** Called instead of `onEnd` with an error of the peer that is the answer. */
  readonly onRefused: (error: CallError) => void;
  /** Called if the peer was unable to serve. */
  readonly onUnable: () => void;
  /** Called once, when the attempt has ended or was cancelled. */
  readonly onReleased: () => void;
};

/** One attempt of a request by way of a peer. */
export class PassAttempt {
  readonly #events: PassEvents;
  readonly #service: string;
  readonly #exchange: UpstreamExchange;
  #error: CallError | undefined;
  #version = "";
  #isReleased = false;

  constructor(
    call: AdmittedCall,
    work: PassWork,
    parts: Pick<AttemptParts, "pool" | "dialect">,
    events: PassEvents,
  ) {
    this.#events = events;
    this.#service = call.service;
    const dialect: CallDialect = {
      ...parts.dialect,
      readResponseHead: (headers) => this.#readHead(headers),
    };
    this.#exchange = new UpstreamExchange(buildPassOptions(call, work), {
      pool: parts.pool,
      dialect,
      onHead: (head) =>
        events.onHead({
          ...head,
          rawHeaders: dropPassHeaders(head.rawHeaders),
        }),
      onChunk: events.onChunk,
      onEnd: (end) => this.#handleEnd(end),
    });
  }

  /** What wrote the events that arrive. */
  get upstream(): StreamOrigin {
    return { service: this.#service, version: this.#version };
  }

  /** Cancels the attempt without calling `onEnd`; so does the peer. */
  cancel(): void {
    this.#exchange.cancel();
    this.#release();
  }

  resume(): void {
    this.#exchange.resume();
  }

  /**
   * An answer without the id of this attempt is taken for another's; so is an error
   * that can't be read, as nothing tells whether the request has run.
   */
  #readHead(headers: ExchangeHead["headers"]): ResponseHead {
    const passId = headers[PASSING.ID_HEADER]?.toString() ?? "";
    const version = headers[PASSING.VERSION_HEADER]?.toString() ?? "";
    const error = headers[PASSING.ERROR_HEADER]?.toString();
    this.#version = decodeURIComponent(version);
    this.#error = error === undefined ? undefined : passError.decode(error);
    const isReadable = error === undefined || this.#error !== undefined;
    return {
      requestId: isReadable ? passId : "",
      isSigned: true,
      isUnexecuted: this.#error !== undefined,
      limitPerSecond: undefined,
      isLeaving: false,
    };
  }

  #handleEnd(end: ExchangeEnd): void {
    const error = this.#error;
    this.#release();
    if (end.kind === "whole") {
      this.#events.onEnd(end);
      return;
    }
    if (end.kind !== "unexecuted" || error === undefined) {
      this.#events.onUnable();
      this.#events.onEnd(end);
      return;
    }
    if (error.run === "not run" && UNABLE.includes(error.status)) {
      this.#events.onUnable();
      this.#events.onEnd({ kind: "unsent", reason: error.message });
      return;
    }
    this.#events.onRefused(error);
  }

  #release(): void {
    if (!this.#isReleased) {
      this.#isReleased = true;
      this.#events.onReleased();
    }
  }
}

import {
  CALL_SHAPES,
  getVersion,
  type StreamOrigin,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { StreamOrigins } from "../streams/stream_origins.ts";
import type { AdmittedCall } from "./types.ts";

/** Knows and records which version began the stream of one request. */
export class RequestOrigin {
  readonly #call: AdmittedCall;
  readonly #origins: Pick<StreamOrigins, "find" | "recordBegun">;
  #origin: StreamOrigin | undefined;
  #recordEnd: () => void = () => undefined;

  constructor(
    call: AdmittedCall,
    origins: Pick<StreamOrigins, "find" | "recordBegun">,
  ) {
    this.#call = call;
    this.#origins = origins;
    this.#origin = call.origin;
  }

  /** What alone may go on with the stream; undefined unless it has begun. */
  get current(): StreamOrigin | undefined {
    return this.#origin;
  }

  /** Whether it has to be found what began a stream that the caller goes on with. */
  get isTakenUp(): boolean {
    const { head, route } = this.#call;
    return (
      this.#origin === undefined &&
      route.shape === CALL_SHAPES.stream &&
      head.lastEventId !== undefined
    );
  }

  /** Says what is missing if no upstream can be chosen. */
  describeLack(): string {
    return this.#origin === undefined
      ? "no upstream is in use"
      : "no upstream of the stream's version is in use";
  }

  /** Finds what began a stream that is taken up; returns whether it is known. */
  async find(): Promise<boolean> {
    const { service, head } = this.#call;
    this.#origin = await this.#origins.find({
      service,
      customer: this.#getCustomer(),
      resumes: head.resumes,
    });
    return this.#origin !== undefined;
  }

  /** Records that an upstream brought the stream's first event. */
  recordBegun(upstream: Pick<UpstreamEntry, "service" | "version">): void {
    if (this.#origin !== undefined) {
      return;
    }
    const { head, route } = this.#call;
    this.#origin = {
      service: upstream.service,
      version: getVersion(upstream),
    };
    if (route.isResumable && head.requestId !== undefined) {
      this.#recordEnd = this.#origins.recordBegun(
        this.#getCustomer(),
        head.requestId,
        this.#origin,
      );
    }
  }

  recordEnd(): void {
    this.#recordEnd();
  }

  #getCustomer(): string {
    return this.#call.customer?.name ?? "";
  }
}

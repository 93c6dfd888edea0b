import {
  assertNever,
  type InstanceEvent,
  type PlatformAnswer,
  type PlatformCall,
} from "@gooseberryline/core";
import { type Platform, PlatformError } from "@gooseberryline/protocol";

const WATCH_TIMEOUT_MS = 5_000;

/** Executes the core's platform calls and posts their answers as events. */
export class PlatformTask {
  readonly #platform: Platform;
  readonly #post: (event: InstanceEvent) => void;

  constructor(platform: Platform, post: (event: InstanceEvent) => void) {
    this.#platform = platform;
    this.#post = post;
  }

  /** Starts a call; its answer or its failure is posted as an event. */
  start(callId: string, call: PlatformCall): void {
    this.#dispatch(call)
      .catch(describeFailure)
      .then((answer) => {
        this.#post({ kind: "platform-answered", callId, answer });
      });
  }

  async #dispatch(call: PlatformCall): Promise<PlatformAnswer> {
    switch (call.kind) {
      case "get":
        return { kind: "got", record: await this.#platform.get(call.key) };
      case "list": {
        const records = await this.#platform.list(call.prefix);
        return { kind: "listed", records };
      }
      case "cas":
        return this.#platform.cas(call);
      case "changes": {
        const { prefix, revision } = call;
        const changes = await this.#platform.watch(
          prefix,
          revision,
          WATCH_TIMEOUT_MS,
        );
        return { kind: "changed", ...(changes ?? { revision, records: [] }) };
      }
      case "grant-lease": {
        const leaseId = await this.#platform.grantLease(call.ttlMs);
        return { kind: "granted", leaseId };
      }
      case "keep-lease": {
        const isKept = await this.#platform.renewLease(call.leaseId);
        return { kind: "kept", isKept };
      }
      default:
        return assertNever(call);
    }
  }
}

function describeFailure(error: unknown): PlatformAnswer {
  const fault = error instanceof PlatformError ? error.fault : undefined;
  return fault?.kind === "rate-limited"
    ? { kind: "throttled", retryAfterMs: fault.retryAfterMs }
    : { kind: "unavailable" };
}

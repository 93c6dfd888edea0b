import { Agent } from "node:http";
import type { FleetMember, MetadataFailure } from "@gooseberryline/core";
import { type Got, got } from "got";
import { type RelayCall, relayCodec } from "./relay_codec.ts";

const CALL_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 300;
/** Extra timeout of a watch beyond its own wait, in ms. */
const WATCH_SLACK_MS = 1_000;

/** Has peers make store calls for this instance. */
export class RelayClient {
  readonly #client: Got;

  constructor() {
    this.#client = got.extend({
      retry: { limit: 0 },
      agent: { http: new Agent({ keepAlive: true, scheduling: "lifo" }) },
    });
  }

  /** Sends a call to a peer; a failure is returned, never thrown. */
  async send(
    { address, relayPort }: FleetMember,
    call: RelayCall,
    signal?: AbortSignal,
  ): Promise<unknown> {
    const waitMs = "waitMs" in call ? call.waitMs + WATCH_SLACK_MS : 0;
    try {
      const text = await this.#client
        .post(`http://${address}:${relayPort}/`, {
          body: relayCodec.encode(call),
          timeout: {
            request: CALL_TIMEOUT_MS + waitMs,
            // The watcher is known to be heard, so another way is taken soon.
            ...(call.kind === "follow" ? { connect: CONNECT_TIMEOUT_MS } : {}),
          },
          ...(signal === undefined ? {} : { signal }),
        })
        .text();
      return relayCodec.decode(text);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      const failure = { isUndone: false, step: call.kind, reason };
      return { kind: "failed", ...failure } satisfies MetadataFailure;
    }
  }
}

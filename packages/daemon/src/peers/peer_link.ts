import type { PeerMessage } from "@gooseberryline/core";
import {
  type Envelope,
  encodeMessage,
  PEER_SERVICE,
  type PeerClient,
  type PeerDelivery,
  type QuestionKind,
} from "@gooseberryline/protocol";
import type { ClientWritableStream } from "@grpc/grpc-js";
import { CHANNEL_OPTIONS } from "./channel_options.ts";
import { PeerError } from "./peer_error.ts";
import type { PeerCounts, PeerCredentials } from "./types.ts";

/** Maximum number of queued messages; further ones are dropped. */
const MAX_PENDING = 512;
const REOPEN_DELAY_MS = 200;

type OpenStream = {
  readonly call: ClientWritableStream<Envelope>;
  pending: number;
  sequence: number;
  isEnded: boolean;
};

/** Connection to one peer, with a message stream and unary calls. */
export class PeerLink {
  readonly address: string;
  readonly client: PeerClient;
  lastUsedMs = Date.now();
  readonly #sender: Pick<PeerDelivery, "from" | "incarnation">;
  readonly #counts: PeerCounts;
  #stream: OpenStream | undefined;
  #reopenAtMs = 0;

  constructor(
    address: string,
    sender: Pick<PeerDelivery, "from" | "incarnation">,
    {
      credentials: { client, certificateName },
      counts,
    }: {
      readonly credentials: PeerCredentials;
      readonly counts: PeerCounts;
    },
  ) {
    this.#counts = counts;
    this.address = address;
    this.#sender = sender;
    const name =
      certificateName === undefined
        ? {}
        : { "grpc.ssl_target_name_override": certificateName };
    const options = { ...CHANNEL_OPTIONS, ...name };
    this.client = new PEER_SERVICE(address, client, options);
  }

  /** Sends a message; drops and counts it if it cannot be sent. */
  send(message: PeerMessage): void {
    this.lastUsedMs = Date.now();
    const stream = this.#stream ?? this.#open();
    if (stream === undefined || stream.pending >= MAX_PENDING) {
      this.#counts.droppedUnsent += 1;
      return;
    }
    stream.pending += 1;
    stream.sequence += 1;
    const { sequence } = stream;
    const envelope = encodeMessage({ ...this.#sender, sequence, message });
    stream.call.write(envelope, () => {
      if (!stream.isEnded) {
        stream.pending -= 1;
        this.#counts.sent += 1;
      }
    });
  }

  /**
   * Sends a query to the peer; rejects with a `PeerError` on failure or without
   * a reply within `timeoutMs`.
   */
  query(
    kind: QuestionKind,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    this.lastUsedMs = Date.now();
    const question = {
      from: this.#sender.from,
      kind,
      json: JSON.stringify(params ?? {}),
    };
    const deadline = Date.now() + timeoutMs;
    return new Promise((resolve, reject) => {
      this.client.ask(question, { deadline }, (error, reply) => {
        if (error === null && reply !== undefined) {
          resolve(JSON.parse(reply.json));
          return;
        }
        const about = { step: kind, peer: this.address };
        const detail = error?.details ?? "no reply";
        reject(new PeerError("unreachable", { ...about, detail }));
      });
    });
  }

  close(): void {
    this.#stream?.call.cancel();
    this.#stream = undefined;
    this.client.close();
  }

  #open(): OpenStream | undefined {
    if (Date.now() < this.#reopenAtMs) {
      return undefined;
    }
    const call = this.client.deliver(() => {
      opened.isEnded = true;
      this.#counts.droppedUnsent += opened.pending;
      if (this.#stream === opened) {
        this.#stream = undefined;
        this.#reopenAtMs = Date.now() + REOPEN_DELAY_MS;
      }
    });
    const opened: OpenStream = {
      call,
      pending: 0,
      sequence: 0,
      isEnded: false,
    };
    call.on("error", () => undefined);
    this.#stream = opened;
    return opened;
  }
}

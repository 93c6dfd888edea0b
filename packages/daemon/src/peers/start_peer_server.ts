import type { InstanceEvent } from "@gooseberryline/core";
import {
  decodeMessage,
  PEER_SERVICE,
  type PeerHandlers,
  type QuestionKind,
} from "@gooseberryline/protocol";
import { Server, status } from "@grpc/grpc-js";
import type { Log } from "../logs/create_log.ts";
import type { PeerListenerSettings } from "../settings/types.ts";
import { CHANNEL_OPTIONS } from "./channel_options.ts";
import { createBlobHandlers } from "./create_blob_handlers.ts";
import type {
  AnswerQuestion,
  BlobStore,
  PeerCounts,
  PeerCredentials,
} from "./types.ts";

/** Dependencies of the peer server. */
export type PeerServerParts = {
  readonly credentials: PeerCredentials;
  readonly counts: PeerCounts;
  readonly log: Log;
  readonly post: (event: InstanceEvent) => void;
  readonly answer: AnswerQuestion;
  readonly blobs: BlobStore | undefined;
};

/** A running peer server. */
export type PeerServer = {
  /** Bound address as `IP:port`. */
  readonly address: string;
  readonly close: () => void;
};

/** Starts the gRPC server that peers connect to. */
export async function startPeerServer(
  { host, port }: Pick<PeerListenerSettings, "host" | "port">,
  parts: PeerServerParts,
): Promise<PeerServer> {
  const server = new Server(CHANNEL_OPTIONS);
  server.addService(PEER_SERVICE.service, {
    ...createMessageHandlers(parts),
    ...createBlobHandlers(parts.blobs),
  });
  const name = host.includes(":") ? `[${host}]` : host;
  const bound = await new Promise<number>((resolve, reject) => {
    const { server: credentials } = parts.credentials;
    server.bindAsync(`${name}:${port}`, credentials, (error, at) => {
      if (error === null) {
        resolve(at);
      } else {
        reject(error);
      }
    });
  });
  return {
    address: `${name}:${bound}`,
    close: () => server.forceShutdown(),
  };
}

function createMessageHandlers({
  post,
  counts,
  answer,
  log,
}: PeerServerParts): Pick<PeerHandlers, "Deliver" | "Ask"> {
  return {
    Deliver: (call, callback) => {
      const stream = { received: 0 };
      call.on("data", (envelope) => {
        const decoded = decodeMessage(envelope);
        if (decoded.kind !== "message") {
          counts.droppedUnread += 1;
          log.warn("peer-message-unread", { step: "decode", ...decoded });
          return;
        }
        stream.received += 1;
        counts.received += 1;
        const { from, message } = decoded.delivery;
        post({ kind: "peer-message", from, message });
      });
      call.on("error", () => undefined);
      call.on("end", () => callback(null, stream));
    },
    Ask: ({ request }, callback) => {
      const { kind, json } = request;
      readAnswer(answer, kind, json).then(
        (reply) => callback(null, { json: reply }),
        (error: unknown) =>
          callback({ code: status.INTERNAL, details: String(error) }),
      );
    },
  };
}

async function readAnswer(
  answer: AnswerQuestion,
  kind: string,
  json: string,
): Promise<string> {
  const params: unknown = JSON.parse(json);
  const reply = await answer(kind as QuestionKind, params);
  return JSON.stringify(reply ?? null);
}

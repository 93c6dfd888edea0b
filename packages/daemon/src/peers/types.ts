/** Connections between instances, as the daemon's tasks see them. */
import type { QuestionKind } from "@gooseberryline/protocol";
import type { ChannelCredentials, ServerCredentials } from "@grpc/grpc-js";

/** How both ends of a peer connection prove who they are. */
export type PeerCredentials = {
  readonly client: ChannelCredentials;
  readonly server: ServerCredentials;
  /** Name that every instance's certificate carries; absent without TLS. */
  readonly certificateName: string | undefined;
};

/** Messages to and from peers since the process started. */
export type PeerCounts = {
  /** Handed to the connection; a connection that breaks may lose them. */
  sent: number;
  received: number;
  /** No address is known for the instance. */
  droppedUnknown: number;
  /** The peer can't be reached, or its queue is full. */
  droppedUnsent: number;
  /** Received in a form that this build can't read. */
  droppedUnread: number;
};

/** Answers questions of peers and reports; rejects for a kind it lacks. */
export type AnswerQuestion = (
  kind: QuestionKind,
  params: unknown,
) => Promise<unknown>;

/** A file in a peer's data folder. */
export type PeerBlob = { readonly name: string; readonly bytes: number };

/** Keeps files for peers; absent at instances without a disk. */
export type BlobStore = {
  /** Stores a file durably; resolves with its size once it is synced. */
  readonly write: (
    name: string,
    content: AsyncIterable<Buffer>,
  ) => Promise<number>;
  readonly read: (name: string) => AsyncIterable<Buffer>;
  readonly list: (prefix: string) => Promise<readonly PeerBlob[]>;
};

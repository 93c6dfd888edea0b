/** Types of the connections between instances. */
import type { QuestionKind } from "@gooseberryline/protocol";
import type { ChannelCredentials, ServerCredentials } from "@grpc/grpc-js";

/** Credentials that both ends of a peer connection authenticate with. */
export type PeerCredentials = {
  readonly client: ChannelCredentials;
  readonly server: ServerCredentials;
  /** Host name in every instance's certificate; undefined without TLS. */
  readonly certificateName: string | undefined;
};

/** Counts of messages to and from peers since the process started. */
export type PeerCounts = {
  /** Written to the connection; messages may still be lost if it fails. */
  sent: number;
  received: number;
  /** Dropped because the instance's address is unknown. */
  droppedUnknown: number;
  /** Dropped because the peer is unreachable or its queue is full. */
  droppedUnsent: number;
  /** Dropped because this version cannot decode the message. */
  droppedUnread: number;
};

/** Answers peers' queries; rejects if the kind is unknown. */
export type AnswerQuestion = (
  kind: QuestionKind,
  params: unknown,
) => Promise<unknown>;

/** A file in a peer's data folder. */
export type PeerBlob = { readonly name: string; readonly bytes: number };

/** Stores files for peers; absent on instances without a disk. */
export type BlobStore = {
  /** Stores a file durably; resolves with its size once it is synced. */
  readonly write: (
    name: string,
    content: AsyncIterable<Buffer>,
  ) => Promise<number>;
  readonly read: (name: string) => AsyncIterable<Buffer>;
  readonly list: (prefix: string) => Promise<readonly PeerBlob[]>;
};

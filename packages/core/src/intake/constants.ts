/** What clients that are not trusted may take of a process. */
export const INTAKE = {
  /** Memory that a process may use where its settings name none, in MB. */
  DEFAULT_MEMORY_MB: 250,
  /** Descriptors that it may have where its settings name none. */
  DEFAULT_MAX_FDS: 4_096,
  /** Descriptors that are not sockets, or are kept for other sockets. */
  RESERVED_FDS: 200,
  /** Share of the memory for callers' requests, read or in flight. */
  REQUEST_SHARE: 0.12,
  /** The same for messages of peers. */
  MESSAGE_SHARE: 0.08,
  /** Share of the memory for answers that are held, or not read yet. */
  ANSWER_SHARE: 0.08,
  /** Share of the memory for the bodies of jobs that are being accepted. */
  JOB_SHARE: 0.01,
  /** Shares of the descriptors for connections of callers, peers and others. */
  CALLER_FD_SHARE: 0.6,
  PEER_FD_SHARE: 0.15,
  STATUS_FD_SHARE: 0.05,
  /** Holders of no more bytes than this give way last, as that makes little room. */
  SMALL_BYTES: 16_384,
} as const;

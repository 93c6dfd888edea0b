/** Types of what clients may take of a process. */

/** Bounds of one process: bytes, and numbers of connections. */
export type IntakeLimits = {
  readonly requestBytes: number;
  readonly messageBytes: number;
  readonly answerBytes: number;
  readonly jobBytes: number;
  readonly callerConnections: number;
  readonly peerConnections: number;
  /** For each listener of status pages. */
  readonly statusConnections: number;
};

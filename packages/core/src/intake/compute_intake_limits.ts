import { INTAKE } from "./constants.ts";
import type { IntakeLimits } from "./types.ts";

const BYTES_PER_MB = 1_048_576;

/**
 * Computes what clients may take of a process from the memory and the descriptors
 * that it may use.
 */
export function computeIntakeLimits(
  memoryMb: number = INTAKE.DEFAULT_MEMORY_MB,
  maxFds: number = INTAKE.DEFAULT_MAX_FDS,
): IntakeLimits {
  const memory = memoryMb * BYTES_PER_MB;
  const descriptors = Math.max(0, maxFds - INTAKE.RESERVED_FDS);
  const share = (part: number): number =>
    Math.max(1, Math.floor(descriptors * part));
  return {
    requestBytes: memory * INTAKE.REQUEST_SHARE,
    messageBytes: memory * INTAKE.MESSAGE_SHARE,
    answerBytes: memory * INTAKE.ANSWER_SHARE,
    jobBytes: memory * INTAKE.JOB_SHARE,
    callerConnections: share(INTAKE.CALLER_FD_SHARE),
    peerConnections: share(INTAKE.PEER_FD_SHARE),
    statusConnections: share(INTAKE.STATUS_FD_SHARE),
  };
}

import type { ResponseHead } from "../dialect/types.ts";
import { isSuccess } from "./is_success.ts";
import type { EarlierAnswer } from "./types.ts";

/** What an answer is compared with. */
type AskedRequest = {
  readonly requestId: string | undefined;
  /** Whether its connection has carried other requests before. */
  readonly isReused: boolean;
  /** How its connection has answered other runs of the same request. */
  readonly earlier: EarlierAnswer;
};

const FIRST_FINAL_STATUS = 200;

/**
 * Says why an answer does not belong to a run of a request; undefined if it may.
 * Upstreams name the request that they answer, not the run, so an answer that may be
 * a second copy of another run's is not heard. An upstream that never names requests
 * is heard on connections that have carried nothing else.
 */
export function findForeignReason(
  { requestId, isReused, earlier }: AskedRequest,
  head: Pick<ResponseHead, "requestId" | "isSigned">,
  status: number,
): string | undefined {
  if (status < FIRST_FINAL_STATUS) {
    return "the answer has no status of an answer";
  }
  if (head.requestId !== undefined && head.requestId !== requestId) {
    return "the answer names another request";
  }
  if (head.requestId === undefined && isReused) {
    return "the answer names no request, on a connection used before";
  }
  if (canBeCopy(earlier, status)) {
    return "the answer may be an earlier run's, on the same connection";
  }
  return isSuccess(status) && !head.isSigned
    ? "the answer is a success without a signature"
    : undefined;
}

/** After failures alone, a success is no copy. */
function canBeCopy(earlier: EarlierAnswer, status: number): boolean {
  return earlier === "success" || (earlier === "failure" && !isSuccess(status));
}

import type { ResponseHead } from "../dialect/types.ts";

/** What an answer is compared with. */
type AskedRequest = {
  readonly requestId: string | undefined;
  /** Whether its connection has carried other requests before. */
  readonly isReused: boolean;
};

const SUCCESS = 200;
const REDIRECTION = 300;

/**
 * Says why an answer does not belong to a request; undefined if it may. Upstreams
 * name the request that they answer. One that never does is heard on connections
 * that have carried nothing else.
 */
export function findForeignReason(
  { requestId, isReused }: AskedRequest,
  head: Pick<ResponseHead, "requestId" | "isSigned">,
  status: number,
): string | undefined {
  if (status < SUCCESS) {
    return "the answer has no status of an answer";
  }
  if (head.requestId !== undefined && head.requestId !== requestId) {
    return "the answer names another request";
  }
  if (head.requestId === undefined && isReused) {
    return "the answer names no request, on a connection used before";
  }
  const isSuccess = status >= SUCCESS && status < REDIRECTION;
  return isSuccess && !head.isSigned
    ? "the answer is a success without a signature"
    : undefined;
}

import type { CallDialect } from "../dialect/types.ts";

/** A minimal call dialect, for tests without the platform's wire format. */
export const plainDialect: CallDialect = {
  parseCallHead: (headers) => ({
    requestId: undefined,
    key: undefined,
    deadlineMs: undefined,
    lastEventId: undefined,
    resumes: undefined,
    affinityKey: undefined,
    promptParts: headers.parts?.toString().split(" ") ?? [],
    waitMs: 0,
  }),
  buildHeaders: (_, { requestId, upstreamId, lastEventId }) => ({
    "request-id": requestId ?? "",
    upstream: upstreamId,
    ...(lastEventId === undefined ? {} : { "last-event": `${lastEventId}` }),
  }),
  readResponseHead: (headers) => ({
    requestId: headers["request-id"]?.toString(),
    isSigned: headers.unsigned === undefined,
    isUnexecuted: headers["not-run"] !== undefined,
    limitPerSecond:
      headers.limit === undefined ? undefined : Number(headers.limit),
    isLeaving: headers.leaving !== undefined,
  }),
  parseJobCall: () => undefined,
  parseJob: () => ({ kind: "unreadable", reason: "not in this test" }),
  encodeResults: () => "",
};

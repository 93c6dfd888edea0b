import { got, RequestError } from "got";
import type { CallEnd } from "./types.ts";

const TIMEOUT_MS = 20_000;

type RefusalBody = {
  readonly error?: { readonly code: string; readonly run: string };
};

/** Sends one request and returns its outcome as seen by the caller. */
export async function sendCall(
  url: string,
  call: {
    readonly instanceId: string;
    readonly customer: string;
    readonly callId: string;
    readonly isStream: boolean;
    readonly profile: string;
  },
): Promise<CallEnd> {
  const { instanceId, customer, callId, isStream, profile } = call;
  try {
    const { statusCode, body } = await got.post(`${url}/v1/chat/completions`, {
      json: {
        model: "pega",
        stream: isStream,
        messages: [{ role: "user", content: callId }],
      },
      headers: {
        authorization: `Bearer key-${customer}`,
        "x-gooseberryline-profile": profile,
        ...(profile === "order" ? { "idempotency-key": callId } : {}),
      },
      throwHttpErrors: false,
      retry: { limit: 0 },
      timeout: { request: TIMEOUT_MS },
    });
    return statusCode === 200
      ? describeAnswer(body, isStream)
      : describeRefusal(body);
  } catch (error) {
    if (error instanceof RequestError) {
      return { kind: "broken", instanceId };
    }
    throw error;
  }
}

function describeAnswer(body: string, isStream: boolean): CallEnd {
  const failed = /event: error\ndata: (.*)/.exec(body)?.[1];
  if (failed !== undefined) {
    return describeRefusal(failed);
  }
  const isComplete = isStream
    ? body.includes("data: [DONE]")
    : body.includes('"choices"');
  return { kind: isComplete ? "answered" : "partial" };
}

function describeRefusal(body: string): CallEnd {
  const { error } = JSON.parse(body) as RefusalBody;
  return {
    kind: "refused",
    code: error?.code ?? "unknown",
    run: error?.run ?? "unknown",
  };
}

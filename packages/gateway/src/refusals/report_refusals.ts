import type { CallError, CallReply } from "../requests/types.ts";

/** Wraps a reply to report each error that its caller gets. */
export function reportRefusals(
  reply: CallReply,
  onRefused: (error: CallError) => void,
): CallReply {
  return {
    ...reply,
    sendError: (error) => {
      if (reply.isConnected()) {
        onRefused(error);
      }
      reply.sendError(error);
    },
  };
}

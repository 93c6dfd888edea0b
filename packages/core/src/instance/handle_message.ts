import type { InstanceId } from "../ids/types.ts";
import { acceptAsk } from "../limits/accept_ask.ts";
import { noteLoan } from "../limits/note_loan.ts";
import { noteHeartbeat } from "../membership/note_heartbeat.ts";
import { lowerShares } from "../shares/lower_shares.ts";
import { noteDemand } from "../shares/note_demand.ts";
import { noteLowered } from "../shares/note_lowered.ts";
import { noteWritten } from "../shares/note_written.ts";
import type { InstanceState, PeerMessage, Step } from "./types.ts";

/** Hands a peer's message to the feature that it belongs to. */
export function handleMessage(
  state: InstanceState,
  {
    from,
    message,
  }: { readonly from: InstanceId; readonly message: PeerMessage },
  nowMs: number,
): Step {
  switch (message.kind) {
    case "heartbeat":
      return noteHeartbeat(state, from, { heartbeat: message, nowMs });
    case "loan-asked":
      return acceptAsk(state, { from, ask: message }, nowMs);
    case "loan-answered":
      return noteLoan(state, { from, loan: message }, nowMs);
    case "demand-reported":
      return noteDemand(state, from, message);
    case "share-lower-asked":
      return lowerShares(state, { from, asked: message }, nowMs);
    case "share-lowered":
      return noteLowered(state, { from, answer: message }, nowMs);
    case "shares-written":
      return noteWritten(state, message, nowMs);
  }
}

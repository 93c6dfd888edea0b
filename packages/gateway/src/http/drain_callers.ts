import { SHUTDOWN_TIMES } from "../shutdown_times.ts";
import { waitMs } from "../wait_ms.ts";
import type { CallerListener } from "./caller_listener.ts";
import type { StopTimes } from "./types.ts";

/**
 * Ends the callers' connections in a planned stop: waits for the linger time, then
 * until no request is in flight or follows at once, or the stop's time is over.
 * From then on all are refused.
 */
export async function drainCallers(
  listener: CallerListener,
  stop: StopTimes,
  readNowMs: () => number,
): Promise<void> {
  const { LINGER_MS, SENDS_AGAIN_MS, POLL_MS } = SHUTDOWN_TIMES;
  listener.startDraining(stop);
  await waitMs(LINGER_MS);
  listener.stopAccepting();
  listener.closeIdle(SENDS_AGAIN_MS);
  while (listener.isBusy(SENDS_AGAIN_MS) && readNowMs() < stop.endMs) {
    await waitMs(POLL_MS);
    listener.closeIdle(SENDS_AGAIN_MS);
  }
  listener.refuseAll();
  if (listener.countInFlight() > 0) {
    listener.expireAll();
    await waitMs(POLL_MS);
  }
}

import { setTimeout as wait } from "node:timers/promises";

const READY_POLL_MS = 20;

/** Waits until a readiness check answers with status 200. */
export async function waitUntilReady(url: string): Promise<void> {
  const { status } = await fetch(url);
  if (status !== 200) {
    await wait(READY_POLL_MS);
    await waitUntilReady(url);
  }
}

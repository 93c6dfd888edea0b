const POLL_MS = 10;

/** Polls `holdsCondition` until it returns true; rejects after `limitMs`. */
export async function waitUntil(
  holdsCondition: () => boolean | Promise<boolean>,
  limitMs = 10_000,
): Promise<void> {
  const deadlineMs = Date.now() + limitMs;
  while (!(await holdsCondition())) {
    if (Date.now() > deadlineMs) {
      throw new Error(`condition not met within ${limitMs} ms`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

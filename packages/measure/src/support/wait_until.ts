const POLL_MS = 10;

/** Waits until `isTrue` answers true; rejects after `limitMs`. */
export async function waitUntil(
  isTrue: () => boolean | Promise<boolean>,
  limitMs = 10_000,
): Promise<void> {
  const endsMs = Date.now() + limitMs;
  while (!(await isTrue())) {
    if (Date.now() > endsMs) {
      throw new Error(`still false after ${limitMs} ms`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

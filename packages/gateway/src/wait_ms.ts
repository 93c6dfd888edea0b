/** Resolves after a delay, in ms. */
export function waitMs(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}

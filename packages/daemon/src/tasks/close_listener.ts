import type { Server } from "node:http";

const POLL_INTERVAL_MS = 20;

/**
 * Closes a listener once its requests in flight are answered and read; after
 * `limitMs` the remaining connections are closed too. Connections without a
 * request are closed immediately.
 */
export async function closeListener(
  server: Server,
  limitMs: number,
): Promise<void> {
  const poll = setInterval(
    () => server.closeIdleConnections(),
    POLL_INTERVAL_MS,
  );
  const limit = setTimeout(() => server.closeAllConnections(), limitMs);
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
  });
  clearInterval(poll);
  clearTimeout(limit);
}

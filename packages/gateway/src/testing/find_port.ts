import { createServer } from "node:net";

/** Finds a free port on the loopback address. */
export function findPort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, "127.0.0.1", () => {
      const address = server.address();
      const port = typeof address === "object" ? (address?.port ?? 0) : 0;
      server.close(() => resolve(port));
    });
  });
}

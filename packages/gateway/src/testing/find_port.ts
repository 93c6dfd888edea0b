import { createServer } from "node:net";

/** A free port of the loopback address. */
export function findPort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer().listen(0, "127.0.0.1", () => {
      const address = server.address();
      const port = typeof address === "object" ? (address?.port ?? 0) : 0;
      server.close(() => resolve(port));
    });
  });
}

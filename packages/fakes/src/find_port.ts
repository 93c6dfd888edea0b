import { createServer } from "node:net";

/** Ports that no system hands out to outgoing connections. */
const FIRST_PORT = 16_000;
const PORT_COUNT = 16_000;

/** Finds a free port on the loopback address that no other connection gets. */
export function findPort(): Promise<number> {
  const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(findPort()));
    server.listen(port, "127.0.0.1", () => {
      server.close(() => resolve(port));
    });
  });
}

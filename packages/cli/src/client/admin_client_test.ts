import { type AddressInfo, createServer, type Server } from "node:net";
import { afterEach, expect, test } from "vitest";
import { AdminClient } from "./admin_client.ts";
import { AdminError } from "./admin_error.ts";

const BODY = '{"instances":[]}';

const servers: Server[] = [];

afterEach(() => {
  servers.splice(0).forEach((server) => {
    server.close();
  });
});

/** Starts a server that answers each request with these bytes. */
async function serve(bytes: string): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => socket.end(bytes));
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Guards against bytes without a status of an answer that are shown as one.
test.each(["000", "099"])("a status of %s is no answer", async (status) => {
  const head = `HTTP/1.1 ${status} OK\r\nContent-Length: ${BODY.length}\r\n\r\n`;
  const client = new AdminClient(await serve(head + BODY), "token");
  await expect(client.get("status")).rejects.toThrow(AdminError);
});

test("a success is the answer", async () => {
  const head = `HTTP/1.1 200 OK\r\nContent-Length: ${BODY.length}\r\n\r\n`;
  const client = new AdminClient(await serve(head + BODY), "token");
  expect(await client.get("status")).toEqual({ instances: [] });
});

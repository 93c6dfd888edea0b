import { ConnectionPool } from "@gooseberryline/daemon";
import { expect, test } from "vitest";
import { sendExchange } from "../testing/send_exchange.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";

/** Half of the time that the exchange would wait for an answer. */
const SOON_MS = 500;

// Guards against an end that the runtime raises no answer and no error for, and that
// leaves a caller waiting until its time is up.
test.each([
  "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
  "HTTP/1.1 101 Switching Protocols\r\n\r\n",
  "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
])("an exchange ends at once by %j", async (head) => {
  const upstream = await startRawUpstream((socket) => socket.write(head));
  const pool = new ConnectionPool(1_000);
  const startedMs = performance.now();
  const end = await sendExchange(upstream.address, pool, { requestId: "r1" });
  expect(end).toMatchObject({ kind: "lost", isSilent: false });
  expect(performance.now() - startedMs).toBeLessThan(SOON_MS);
  pool.stop();
  await upstream.close();
});

import { ConnectionPool } from "@gooseberryline/daemon";
import { expect, test } from "vitest";
import { sendExchange } from "../testing/send_exchange.ts";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";

// Guards against a refusal that is lost for its body, of which nobody needs a byte.
test.each(["gzip", "chunked, chunked", "identity"])(
  "a refusal is heard by its head though its body is coded as '%s'",
  async (coding) => {
    const head = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n";
    const upstream = await startRawUpstream((socket) => {
      socket.end(`${head}Transfer-Encoding: ${coding}\r\n\r\n`);
    });
    const pool = new ConnectionPool(1_000);
    const { address } = upstream;
    const end = await sendExchange(address, pool, { requestId: "r1" });
    expect(end).toMatchObject({ kind: "unexecuted", status: 503 });
    pool.stop();
    await upstream.close();
  },
);

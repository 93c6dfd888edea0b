import { expect, test } from "vitest";
import { startRawUpstream } from "../testing/start_raw_upstream.ts";
import { RelayClient } from "./relay_client.ts";

const BODY = '{"kind":"page","items":[],"hasMore":false,"storeRevision":1}';
const CUT = BODY.slice(0, -1);
const LENGTH = `Content-Length: ${BODY.length}\r\n\r\n`;
const ANSWERS = [
  `HTTP/1.1 000 OK\r\n${LENGTH}${BODY}`,
  `HTTP/1.1 099 OK\r\n${LENGTH}${BODY}`,
  `HTTP/1.1 200 OK\r\nX Odd: v\r\n${LENGTH}${BODY}`,
  `HTTP/1.1 200 OK\r\n\r\nX-Odd: v\r\n${LENGTH}${BODY}`,
  `HTTP/1.1 200 OK\r\n\r\n${CUT}`,
  `HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n${CUT}`,
  `HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n${CUT}`,
];
const CASES = ANSWERS.flatMap((answer) =>
  [true, false].map((isReset) => ({ answer, isReset })),
);

/** Has a peer that answers with these bytes read a page of the store. */
async function sendToPeer(bytes: string, isReset: boolean): Promise<unknown> {
  const peer = await startRawUpstream((socket) => {
    socket.write(bytes, () =>
      isReset ? socket.resetAndDestroy() : socket.end(),
    );
  });
  const { port } = new URL(`http://${peer.address}`);
  const member = {
    id: "p1",
    incarnation: "1",
    address: "127.0.0.1",
    port: 0,
    relayPort: Number(port),
    dataCentre: "a",
    duty: "serve",
  } as const;
  const call = { kind: "list", prefix: "p" } as const;
  const answer = await new RelayClient().send(member, call);
  await peer.close();
  return answer;
}

// Guards against a broken answer of a peer that is taken for the store's.
test.each(CASES)(
  "a call by way of a peer fails by $answer (reset $isReset)",
  async ({ answer, isReset }) => {
    expect(await sendToPeer(answer, isReset)).toMatchObject({ kind: "failed" });
  },
);

test("a call by way of a peer is served by a sound answer", async () => {
  const answer = `HTTP/1.1 200 OK\r\n${LENGTH}${BODY}`;
  expect(await sendToPeer(answer, false)).toMatchObject({ kind: "page" });
});

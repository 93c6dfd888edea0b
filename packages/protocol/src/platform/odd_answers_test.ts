import { type AddressInfo, createServer } from "node:net";
import { expect, test } from "vitest";
import { connectPlatform } from "./connect_platform.ts";
import { PlatformError } from "./platform_error.ts";

const BODY = '{"records":[]}';
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

/** Lists the records of a service that answers with these bytes. */
async function listFrom(bytes: string, isReset: boolean) {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.write(bytes, () =>
        isReset ? socket.resetAndDestroy() : socket.end(),
      );
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  try {
    return await connectPlatform(`http://127.0.0.1:${port}`).list("p");
  } finally {
    server.close();
  }
}

// Guards against a broken answer of the service that is taken for one.
test.each(CASES)(
  "a call fails by $answer (reset $isReset)",
  async ({ answer, isReset }) => {
    await expect(listFrom(answer, isReset)).rejects.toThrow(PlatformError);
  },
);

test("a call is served by a sound answer", async () => {
  const answer = `HTTP/1.1 200 OK\r\n${LENGTH}${BODY}`;
  expect(await listFrom(answer, false)).toEqual([]);
});

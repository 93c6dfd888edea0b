import { afterEach, expect, test } from "vitest";
import { createEntry } from "../testing/create_entry.ts";
import { startCutFleet } from "../testing/start_cut_fleet.ts";
import { startCuttingUpstream } from "../testing/start_cutting_upstream.ts";
import { PASSING } from "./constants.ts";

type Fleet = Awaited<ReturnType<typeof startCutFleet>>;

const SHORT = "part";
const LONG = "y".repeat(500_000);

const FRAMINGS = [
  "",
  "Transfer-Encoding: identity\r\n",
  "Transfer-Encoding: gzip\r\n",
];
const CASES = ["/plain/", "/once/"].flatMap((path) =>
  [SHORT, LONG].flatMap((text) =>
    FRAMINGS.map((framing) => ({ path, text, framing })),
  ),
);

const open: Fleet[] = [];

afterEach(async () => {
  await Promise.all(open.splice(0).map((fleet) => fleet.close()));
});

// Guards against the part of an answer that comes by way of a peer as a whole one.
test.each(CASES)(
  "an answer ($path, '$framing') without a length that is reset is not passed on by a peer",
  async ({ path, text, framing }) => {
    const fleet = await startCutFleet({ handle: (_, res) => res.end() });
    const bytes = Buffer.from(`HTTP/1.1 200 OK\r\n${framing}\r\n${text}`);
    const cutting = await startCuttingUpstream(bytes, 20);
    const { directory, settings } = fleet.far.view;
    const entry = createEntry({ service: "s", address: cutting.address });
    ["u0", "u1", "u2", "u3"].forEach((id) => {
      directory.set({ ...entry, id });
    });
    open.push(fleet);
    const message = {
      route: path,
      service: "s",
      customer: "c",
      host: "127.0.0.1",
      method: "POST",
      path: `${path}x`,
      headers: { "request-id": "r1" },
      body: { base64: "" },
      attempts: 1,
      spentMs: 0,
      leftMs: 3_000,
    };
    const url = `http://127.0.0.1:${settings.relayPort}${PASSING.PATH}`;
    const status = await fetch(url, {
      method: "POST",
      headers: { [PASSING.ID_HEADER]: "p1" },
      body: JSON.stringify(message),
    }).then(
      async (answer) => {
        await answer.text();
        return answer.status;
      },
      () => "broken off",
    );
    expect(cutting.countAnswers()).toBeGreaterThan(0);
    expect(status).not.toBe(200);
    await cutting.close();
  },
);

import { mkdtemp, readdir } from "node:fs/promises";
import { connect } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test } from "vitest";
import { startFleet } from "../support/start_fleet.ts";
import { waitUntil } from "../support/wait_until.ts";

const HEAD = [
  "POST /v1/files HTTP/1.1",
  "host: x",
  "authorization: Bearer demo-key",
  "content-type: multipart/form-data; boundary=b",
  "content-length: 900000",
  "",
  "--b",
  'content-disposition: form-data; name="file"; filename="input.jsonl"',
  "",
  "",
].join("\r\n");

test("an interrupted upload leaves no file behind", async () => {
  const dataFolder = await mkdtemp(join(tmpdir(), "uploads-"));
  const place = {
    instanceId: "one",
    dataCentre: "a",
    settings: { dataFolder },
  };
  const fleet = await startFleet({ daemonSpecs: [place] });
  const listUploads = () =>
    readdir(join(dataFolder, "blobs", "files")).catch((): string[] => []);
  const [host = "", port = ""] = (fleet.daemons.get("one")?.caller ?? "").split(
    ":",
  );
  await waitUntil(async () => {
    const { statusCode } = await fleet
      .getApi("one")
      .get("v1/models", { throwHttpErrors: false });
    return statusCode === 200;
  });
  const socket = connect(Number(port), host);
  socket.write(HEAD + "x".repeat(200_000));
  await waitUntil(async () => (await listUploads()).length > 0);
  socket.destroy();
  await waitUntil(async () => (await listUploads()).length === 0);
  expect(await listUploads()).toEqual([]);
  await fleet.stop();
});

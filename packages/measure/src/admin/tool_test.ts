import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough, Readable } from "node:stream";
import { runTool } from "@gooseberryline/cli";
import { afterAll, beforeAll, expect, test } from "vitest";
import { type AdminSystem, startAdmin } from "../support/start_admin.ts";

let system: AdminSystem;
const folder = mkdtempSync(join(tmpdir(), "tool-"));

beforeAll(async () => {
  system = await startAdmin();
});

afterAll(() => system.stop());

const runCommand = async (line: string, input = "", token = "op") => {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const argv = line.split(" ");
  const code = await runTool(["--admin", system.adminUrl, ...argv], {
    stdin: Readable.from([input]),
    stdout,
    stderr,
    env: { GOOSEBERRY_TOKEN: token },
  });
  const read = (stream: PassThrough) => String(stream.read() ?? "");
  return { code, out: read(stdout), err: read(stderr) };
};

test("status lists instances and upstreams", async () => {
  const { code, out } = await runCommand("status");
  expect(code).toBe(0);
  expect(out).toMatch(/one +a +1/);
  expect(out).toContain("engine-0");
});

test("config diff shows the changes of a file that config put applies", async () => {
  const current = JSON.parse((await runCommand("config get --json")).out);
  current.document.customers.demo.rate = 60;
  const text = `// faster\n${JSON.stringify(current.document)}`;
  const diff = await runCommand("config diff -", text);
  expect(diff.out).toBe("customers.demo.rate: 50 -> 60\n");
  expect((await runCommand("config put -", text)).code).toBe(0);
  const outdated = await runCommand(
    `config put - --revision ${current.revision}`,
    text,
  );
  expect(outdated).toMatchObject({ code: 1 });
  expect(outdated.err).toContain("the revision is");
});

test("faults of a document are listed with their paths", async () => {
  const { code, err } = await runCommand("config put -", '{"customers":1}');
  expect(code).toBe(1);
  expect(err).toContain("customers: ");
  expect(err).toContain("profiles: ");
});

test("a syntax error is reported with its line", async () => {
  const { code, err } = await runCommand("config put -", "{\n]");
  expect(code).toBe(2);
  expect(err).toContain("-:2:");
});

test("profiles are listed, shown, set and removed", async () => {
  const shown = await runCommand("profile show standard");
  expect((await runCommand("profile set extra -", shown.out)).code).toBe(0);
  expect((await runCommand("profile list")).out).toMatch(/extra +1100/);
  expect((await runCommand("profile remove extra")).code).toBe(0);
  expect((await runCommand("profile show extra")).code).toBe(1);
});

test("a profile in use is not removed", async () => {
  const { code, err } = await runCommand("profile remove standard");
  expect(code).toBe(1);
  expect(err).toContain("customers.demo.defaultProfile");
});

test("keys are issued and revoked", async () => {
  const { out } = await runCommand("key issue demo --json");
  const { id, key } = JSON.parse(out);
  expect(key).toMatch(/^glk_/);
  expect((await runCommand(`key withdraw demo ${id}`)).code).toBe(0);
  expect((await runCommand(`key withdraw demo ${id}`)).code).toBe(1);
});

test("a data centre is evacuated and returned to service", async () => {
  expect((await runCommand("data-centre take-out a")).code).toBe(0);
  expect((await runCommand("data-centre list")).out).toMatch(/a +out/);
  expect((await runCommand("data-centre bring-back a")).code).toBe(0);
});

test("the burn report is printed as a table and written as an HTML page", async () => {
  await system.api.post("v1/chat/completions", {
    json: { model: "demo-model", messages: [] },
  });
  const file = join(folder, "burn.html");
  const { code, out } = await runCommand(`report burn --html ${file}`);
  expect(code).toBe(0);
  expect(out).toMatch(/standard +demo +5min +1 +0/);
  const page = readFileSync(file, "utf8");
  expect(page).toContain("<svg");
  expect(page).not.toMatch(/src=|href=/);
});

test("usage errors, refusals and connection failures have distinct exit codes", async () => {
  expect((await runCommand("no-such-command")).code).toBe(2);
  expect((await runCommand("status", "", "wrong")).code).toBe(1);
  expect((await runCommand("--admin http://127.0.0.1:9 status")).code).toBe(3);
});

test("help and completion list the commands", async () => {
  expect((await runCommand("--help")).out).toContain("report burn");
  expect((await runCommand("completion bash")).out).toContain("take-out");
});

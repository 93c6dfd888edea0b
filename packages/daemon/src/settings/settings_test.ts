import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, test } from "vitest";
import { z } from "zod";
import { runMain } from "../run_main.ts";
import { parseSettings } from "./parse_settings.ts";
import { SETTINGS_SCHEMA } from "./settings_schema.ts";

const findFault = (text: string) => {
  const parsed = parseSettings(text);
  return parsed.kind === "invalid" ? parsed.faults.at(0) : undefined;
};

test("comments and trailing commas are allowed", () => {
  const text = '{\n// who\n"instanceId": "one", "dataCentre": "a",\n}';
  expect(parseSettings(text).kind).toBe("valid");
});

test("a syntax error is reported with line and column", () => {
  expect(findFault('{\n  "instanceId" 1 }')).toMatchObject({
    line: 2,
    column: 16,
  });
});

test("a wrong type is reported with key and position", () => {
  const text =
    '{"instanceId":"one","dataCentre":"a",\n"callerListener":{"port":"x"}}';
  expect(findFault(text)).toMatchObject({
    line: 2,
    column: 26,
    path: "callerListener.port",
  });
});

test("an unknown key is rejected", () => {
  const text = '{"instanceId":"one","dataCentre":"a",\n"colour":1}';
  expect(findFault(text)).toMatchObject({ line: 2, path: "colour" });
});

const runWith = async (text: string, ...flags: string[]) => {
  const folder = await mkdtemp(join(tmpdir(), "settings-"));
  const file = join(folder, "settings.jsonc");
  await writeFile(file, text);
  const lines: string[] = [];
  const write = (line: string) => lines.push(line.replace(folder, ""));
  const code = await runMain(["--settings", file, ...flags], {
    write,
    writeError: write,
  });
  await rm(folder, { recursive: true });
  return { code, text: lines.join("") };
};

test("--check reports valid settings", async () => {
  const url = "http://127.0.0.1:1";
  const text = `{"instanceId":"one","dataCentre":"a","platform":{"url":"${url}"}}`;
  expect(await runWith(text, "--check")).toEqual({
    code: 0,
    text: "/settings.jsonc: valid\n",
  });
});

test("every fault is printed with its position", async () => {
  const text = '{\n  "instanceId": "",\n  "metrics": {"port": "x"}\n}';
  const { code, text: printed } = await runWith(text, "--check");
  expect(code).toBe(1);
  expect(printed).toContain("/settings.jsonc:2:17: instanceId: ");
  expect(printed).toContain("/settings.jsonc:3:23: metrics.port: ");
  expect(printed).toContain("/settings.jsonc:1:1: dataCentre: ");
});

test("a platform is required unless one is embedded", async () => {
  const text = '{"instanceId":"one","dataCentre":"a"}';
  expect((await runWith(text, "--check")).code).toBe(1);
  expect((await runWith(text, "--check", "--embedded")).code).toBe(0);
});

test("invalid usage has its own exit code", async () => {
  const output = { write: () => undefined, writeError: () => undefined };
  expect(await runMain(["--colour"], output)).toBe(2);
  expect(await runMain(["--settings", "/no/such/file"], output)).toBe(1);
  expect(await runMain(["--help"], output)).toBe(0);
});

const buildSettingsText = (more: object) =>
  JSON.stringify({ instanceId: "one", dataCentre: "a", ...more });

test.each(["callerListener", "adminListener", "peerListener"])(
  "%s without tls may not bind a public address",
  (name) => {
    const text = buildSettingsText({ [name]: { host: "203.0.113.5" } });
    expect(findFault(text)?.path).toBe(`${name}.host`);
    expect(
      findFault(buildSettingsText({ [name]: { host: "0.0.0.0" } })),
    ).toBeDefined();
    expect(
      findFault(buildSettingsText({ [name]: { host: "::" } })),
    ).toBeDefined();
    expect(
      findFault(buildSettingsText({ [name]: { host: "10.1.2.3" } })),
    ).toBeUndefined();
    expect(
      findFault(buildSettingsText({ [name]: { host: "fd00::1" } })),
    ).toBeUndefined();
  },
);

test("tls or allowInsecure permits public addresses", () => {
  const host = "203.0.113.5";
  const tls = { certFile: "c.pem", keyFile: "k.pem" };
  expect(
    findFault(buildSettingsText({ callerListener: { host, tls } })),
  ).toBeUndefined();
  const insecure = { allowInsecure: true, callerListener: { host } };
  expect(findFault(buildSettingsText(insecure))).toBeUndefined();
});

type JsonSchema = {
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly items?: JsonSchema;
};

const listKeys = ({ properties, items }: JsonSchema): readonly string[] => [
  ...Object.entries(properties ?? {}).flatMap(([key, inner]) => [
    key,
    ...listKeys(inner),
  ]),
  ...(items === undefined ? [] : listKeys(items)),
];

test("the operators' documentation lists every key", async () => {
  const schema = z.toJSONSchema(SETTINGS_SCHEMA, { io: "input" });
  const keys = listKeys(schema as JsonSchema);
  const place = "../../../../docs/operators/settings.md";
  const page = await readFile(new URL(place, import.meta.url), "utf8");
  expect(keys.length).toBeGreaterThan(20);
  expect(keys.filter((key) => !page.includes(key))).toEqual([]);
});

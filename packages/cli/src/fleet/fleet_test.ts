import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, expect, test } from "vitest";
import { runCommand } from "../testing/run_command.ts";
import { findQuantileBound } from "./find_quantile_bound.ts";
import { parseMetrics } from "./parse_metrics.ts";

const METRICS = `# HELP gooseberryline_requests_total requests that ended
gooseberryline_requests_total{outcome="answered"} 98
gooseberryline_requests_total{outcome="refused"} 2
gooseberryline_request_ms_bucket{le="10",outcome="answered"} 40
gooseberryline_request_ms_bucket{le="50",outcome="answered"} 90
gooseberryline_request_ms_bucket{le="500",outcome="answered"} 98
gooseberryline_request_ms_bucket{le="+Inf",outcome="answered"} 98
gooseberryline_requests_open 3
gooseberryline_items_running 5
gooseberryline_upstreams_known 12
`;

const servers: Server[] = [];

afterEach(() => {
  servers.splice(0).forEach((server) => {
    server.close();
  });
});

async function serve(text: string): Promise<string> {
  const server = createServer((_, res) => res.end(text));
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test("prints each instance and reports unreachable ones separately", async () => {
  const [up, other] = await Promise.all([serve(METRICS), serve("up 1\n")]);
  const { code, out } = await runCommand("--json", "fleet", up, other);
  expect(code).toBe(0);
  expect(JSON.parse(out)).toEqual({
    instances: [
      {
        address: up,
        answered: 98,
        refused: 2,
        brokenOff: 0,
        callerLeft: 0,
        p50Ms: 50,
        p99Ms: 500,
        open: 3,
        itemsRunning: 5,
        upstreams: 12,
      },
    ],
    missing: [{ address: other, reason: "its metrics are another program's" }],
  });
  const table = await runCommand("fleet", up, other);
  expect(table.out).toContain("INSTANCE");
  expect(table.out).toContain(`not reached: ${other}`);
});

test("fails with a message if no instance is reachable", async () => {
  const { code, err } = await runCommand("fleet", "127.0.0.1:1");
  expect(code).toBe(3);
  expect(err).toContain("no instance answered; 127.0.0.1:1");
});

test("reports a usage error without an address", async () => {
  expect((await runCommand("fleet")).code).toBe(2);
});

test("finds no bound for an empty histogram or above the largest bound", () => {
  const parse = (text: string) => parseMetrics(text);
  expect(findQuantileBound(parse('a{le="10"} 0\na{le="+Inf"} 0'), 0.5)).toBe(
    -1,
  );
  expect(findQuantileBound(parse('a{le="10"} 1\na{le="+Inf"} 9'), 0.5)).toBe(
    -1,
  );
});

import { Command, Option } from "clipanion";
import { AdminError } from "../client/admin_error.ts";
import { EXIT_CODES } from "../client/exit_codes.ts";
import { queryFleet } from "../fleet/query_fleet.ts";
import type { FleetSummary } from "../fleet/types.ts";
import { printTable } from "../output/print_table.ts";
import { BaseCommand } from "./base_command.ts";

const HEADINGS = [
  "INSTANCE",
  "ANSWERED",
  "REFUSED",
  "BROKEN OFF",
  "LEFT",
  "P50 MS",
  "P99 MS",
  "OPEN",
  "ITEMS",
  "UPSTREAMS",
] as const;

/** `fleet ADDRESS...`: summarises instances on the users' platform. */
export class FleetCommand extends BaseCommand {
  static override paths = [["fleet"]];
  static override usage = Command.Usage({
    category: "Reports",
    description: "Summarise the metrics of instances on the users' platform",
    details:
      "Queries each IP:PORT, the second internal port of an instance. On that platform, operators write configuration, keys and data centres to the platform's store, so all other commands except `explain` need the product's own administration API.",
    examples: [["Two instances", "gooseberryctl fleet 10.1.0.21:7361 …"]],
  });
  readonly addresses = Option.Rest({ name: "ADDRESS", required: 1 });

  protected override async run(): Promise<FleetSummary> {
    const summary = await queryFleet(this.addresses);
    if (summary.instances.length === 0) {
      const reasons = summary.missing.map(
        ({ address, reason }) => `${address}: ${reason}`,
      );
      throw new AdminError(
        `no instance answered; ${reasons.join("; ")}`,
        EXIT_CODES.UNREACHABLE,
      );
    }
    return summary;
  }

  protected override print(answer: unknown): string {
    const { instances, missing } = answer as FleetSummary;
    const rows = instances.map((instance) => [
      instance.address,
      instance.answered,
      instance.refused,
      instance.brokenOff,
      instance.callerLeft,
      instance.p50Ms < 0 ? "-" : instance.p50Ms,
      instance.p99Ms < 0 ? "-" : instance.p99Ms,
      instance.open,
      instance.itemsRunning,
      instance.upstreams,
    ]);
    return [
      printTable(HEADINGS, rows),
      ...missing.map(
        ({ address, reason }) => `not reached: ${address}: ${reason}\n`,
      ),
    ].join("");
  }
}

import { Command } from "clipanion";
import type { StatusAnswer } from "../client/types.ts";
import { printTable } from "../output/print_table.ts";
import { BaseCommand } from "./base_command.ts";

/** `status`: shows instances, upstreams and broken invariants. */
export class StatusCommand extends BaseCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    category: "Reports",
    description: "Show the instances and their upstreams",
  });

  protected override run(): Promise<unknown> {
    return this.client.get<StatusAnswer>("status");
  }

  protected override print(answer: unknown): string {
    const { instances, missing } = answer as StatusAnswer;
    const rows = instances.map((instance) => [
      instance.instanceId,
      instance.dataCentre,
      instance.revision,
      instance.inFlight,
      instance.queued,
      instance.jobs,
      instance.isStopping ? "stopping" : "serving",
    ]);
    const upstreams = instances.flatMap((instance) =>
      instance.upstreams.map((upstream) => [
        instance.instanceId,
        upstream.upstreamId,
        upstream.dataCentre,
        upstream.service,
        upstream.inFlight,
        upstream.allowance,
        upstream.isLeaving ? "out" : "in",
      ]),
    );
    const broken = instances.flatMap((instance) =>
      Object.entries(instance.invariantsBroken).map(
        ([name, count]) =>
          `${instance.instanceId}: ${name} broken ${count} times\n`,
      ),
    );
    return [
      printTable(
        [
          "INSTANCE",
          "DATA CENTRE",
          "REVISION",
          "IN FLIGHT",
          "QUEUED",
          "JOBS",
          "STATE",
        ],
        rows,
      ),
      "\n",
      printTable(
        [
          "SEEN BY",
          "UPSTREAM",
          "DATA CENTRE",
          "SERVICE",
          "IN FLIGHT",
          "ALLOWED",
          "STATE",
        ],
        upstreams,
      ),
      ...broken,
      ...missing.map((id) => `not reached: ${id}\n`),
    ].join("");
  }
}

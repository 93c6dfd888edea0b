import { Command, Option } from "clipanion";
import type { RunAnswer } from "../client/types.ts";
import { printTable } from "../output/print_table.ts";
import { BaseCommand } from "./base_command.ts";

type Runs = {
  readonly runs: readonly RunAnswer[];
  readonly missing: readonly string[];
};

/** `runs`: lists the recorded runs, newest first. */
export class RunsCommand extends BaseCommand {
  static override paths = [["runs"]];
  static override usage = Command.Usage({
    category: "Reports",
    description: "Show recorded runs with customer, upstream and outcome",
  });
  readonly customer = Option.String("--customer");
  readonly work = Option.String("--work");
  readonly from = Option.String("--from");
  readonly until = Option.String("--until");
  readonly limit = Option.String("--limit", "100");

  protected override run(): Promise<unknown> {
    const query = new URLSearchParams({ limit: this.limit });
    if (this.customer !== undefined) {
      query.set("customer", this.customer);
    }
    if (this.work !== undefined) {
      query.set("work", this.work);
    }
    if (this.from !== undefined) {
      query.set("from", this.from);
    }
    if (this.until !== undefined) {
      query.set("until", this.until);
    }
    return this.client.get<Runs>(`runs?${query}`);
  }

  protected override print(answer: unknown): string {
    const { runs, missing } = answer as Runs;
    const rows = runs.map((run) => [
      new Date(run.startedMs).toISOString(),
      run.endedMs - run.startedMs,
      run.customer,
      run.profile,
      run.upstreamId,
      run.instanceId,
      run.configRevision,
      run.outcome,
      run.workId,
    ]);
    const headings = [
      "STARTED",
      "MS",
      "CUSTOMER",
      "PROFILE",
      "UPSTREAM",
      "INSTANCE",
      "REVISION",
      "OUTCOME",
      "WORK",
    ];
    const missingLines = missing.map((id) => `not reached: ${id}\n`);
    return [printTable(headings, rows), ...missingLines].join("");
  }
}

import { Command, Option } from "clipanion";
import type { JobAnswer } from "../client/types.ts";
import { printTable } from "../output/print_table.ts";
import { BaseCommand } from "./base_command.ts";

type Jobs = {
  readonly jobs: readonly JobAnswer[];
  readonly missing: readonly string[];
};

class JobListCommand extends BaseCommand {
  static override paths = [["job", "list"], ["job"]];
  static override usage = Command.Usage({
    category: "Jobs",
    description: "List the jobs of all customers",
  });
  readonly customer = Option.String("--customer");

  protected override async run(): Promise<unknown> {
    const { jobs, missing } = await this.client.get<Jobs>("jobs");
    const selected = jobs.filter(
      ({ spec }) =>
        this.customer === undefined || spec.customer === this.customer,
    );
    return { jobs: selected, missing };
  }

  protected override print(answer: unknown): string {
    const { jobs, missing } = answer as Jobs;
    const rows = jobs.map(({ spec, status, completed, failed }) => [
      spec.jobId,
      spec.customer,
      spec.profile,
      status,
      completed,
      failed,
      spec.itemCount,
      new Date(spec.dueMs).toISOString(),
    ]);
    const headings = [
      "JOB",
      "CUSTOMER",
      "PROFILE",
      "STATUS",
      "DONE",
      "FAILED",
      "ITEMS",
      "DUE",
    ];
    const missingLines = missing.map((id) => `not reached: ${id}\n`);
    return [printTable(headings, rows), ...missingLines].join("");
  }
}

class JobShowCommand extends BaseCommand {
  static override paths = [["job", "show"]];
  static override usage = Command.Usage({
    category: "Jobs",
    description: "Show one job",
  });
  readonly id = Option.String({ name: "JOB" });

  protected override run(): Promise<unknown> {
    return this.client.get<JobAnswer>(`jobs/${encodeURIComponent(this.id)}`);
  }

  protected override print(answer: unknown): string {
    return `${JSON.stringify(answer, null, 2)}\n`;
  }
}

class JobCancelCommand extends BaseCommand {
  static override paths = [["job", "cancel"]];
  static override usage = Command.Usage({
    category: "Jobs",
    description: "Cancel a job: no further items start",
  });
  readonly id = Option.String({ name: "JOB" });

  protected override run(): Promise<unknown> {
    const id = encodeURIComponent(this.id);
    return this.client.call({ method: "POST", path: `jobs/${id}/cancel` });
  }

  protected override print(): string {
    return `${this.id}: cancelling\n`;
  }
}

/** Commands `job list|show|cancel`. */
export const JOB_COMMANDS = [
  JobListCommand,
  JobShowCommand,
  JobCancelCommand,
] as const;

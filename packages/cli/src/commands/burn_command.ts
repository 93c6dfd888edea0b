import { writeFile } from "node:fs/promises";
import { Command, Option } from "clipanion";
import { renderBurnPage } from "../burn/render_burn_page.ts";
import type { BurnAnswer } from "../client/types.ts";
import { printTable } from "../output/print_table.ts";
import { BaseCommand } from "./base_command.ts";

const PERCENT = 100;

/** `report burn`: shows how fast each allowance is consumed. */
export class BurnCommand extends BaseCommand {
  static override paths = [["report", "burn"]];
  static override usage = Command.Usage({
    category: "Reports",
    description: "Show how fast each profile's allowance is consumed",
    details:
      "A burn rate of 1 exhausts the allowance exactly at the window's end. " +
      "--html writes a self-contained HTML page with plots.",
  });
  readonly html = Option.String("--html");

  protected override async run(): Promise<unknown> {
    const answer = await this.client.get<BurnAnswer>("reports/burn");
    if (this.html !== undefined) {
      await writeFile(this.html, renderBurnPage(answer));
    }
    return answer;
  }

  protected override print(answer: unknown): string {
    const { rows, reached, missing } = answer as BurnAnswer;
    const cells = rows.map((row) => [
      row.profile,
      row.customer,
      row.window,
      row.total,
      row.missed,
      `${(row.missedShare * PERCENT).toFixed(2)}%`,
      row.burnRate.toFixed(2),
    ]);
    const headings = [
      "PROFILE",
      "CUSTOMER",
      "WINDOW",
      "REQUESTS",
      "MISSED",
      "SHARE",
      "BURN RATE",
    ];
    const reachedLine = `reached: ${reached.join(", ")}\n`;
    const missingLines = missing.map((id) => `not reached: ${id}\n`);
    return [printTable(headings, cells), reachedLine, ...missingLines].join("");
  }
}

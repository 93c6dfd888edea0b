import { writeFile } from "node:fs/promises";
import { Command, Option } from "clipanion";
import { renderBurnPage } from "../burn/render_burn_page.ts";
import type { BurnAnswer } from "../client/types.ts";
import { printTable } from "../output/print_table.ts";
import { BaseCommand } from "./base_command.ts";

const PERCENT = 100;

/** `report burn`: how fast each allowance is being used up. */
export class BurnCommand extends BaseCommand {
  static override paths = [["report", "burn"]];
  static override usage = Command.Usage({
    category: "Reports",
    description: "Show how fast each profile's allowance is used up",
    details:
      "A burn rate of 1 uses the allowance up just at the window's end. " +
      "--html writes a page with plots that needs no other file.",
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
    const seen = `reached: ${reached.join(", ")}\n`;
    const gaps = missing.map((id) => `not reached: ${id}\n`);
    return [printTable(headings, cells), seen, ...gaps].join("");
  }
}

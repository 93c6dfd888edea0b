import type { PlaceExplanation } from "@gooseberryline/core";
import { Command, Option } from "clipanion";
import { printTable } from "../output/print_table.ts";
import { printOutcome } from "../place/print_outcome.ts";
import { queryPlace } from "../place/query_place.ts";
import { BaseCommand } from "./base_command.ts";

const HEADINGS = [
  "UPSTREAM",
  "DATA CENTRE",
  "ONLINE",
  "ITEMS",
  "UNSEEN",
  "SLOTS",
  "SLOWNESS",
  "WAIT MS",
  "NEWS MS",
  "RULED OUT",
] as const;

/** `place ADDRESS`: explains where a request or an item would go now. */
export class PlaceCommand extends BaseCommand {
  static override paths = [["place"]];
  static override usage = Command.Usage({
    category: "Reports",
    description: "Explain where a request or an item of a job would go now",
    details:
      "Asks an instance on the users' platform at IP:PORT, its second internal port. Nothing is sent to upstreams, and nothing changes. The customer's rate is not checked. NEWS MS is the age of the oldest report of a peer with work at the upstream.",
    examples: [
      [
        "A request",
        "gooseberryctl place 10.1.0.21:7361 --host shop.example --path /chat/1",
      ],
    ],
  });
  readonly address = Option.String({ name: "ADDRESS", required: true });
  readonly host = Option.String("--host", { required: true });
  readonly path_ = Option.String("--path", { required: true });
  readonly isItem = Option.Boolean("--item", false, {
    description: "an item of a job; ask an instance that runs items",
  });
  readonly requestId = Option.String("--id");
  readonly prompt = Option.String("--prompt", {
    description: "the prompt's shared prefix, as the caller names it",
  });
  readonly deadline = Option.String("--deadline", {
    description: "time that the caller waits, ms",
  });

  protected override run(): Promise<PlaceExplanation> {
    return queryPlace(this.address, {
      host: this.host,
      path: this.path_,
      kind: this.isItem ? "item" : "request",
      ...(this.requestId === undefined ? {} : { id: this.requestId }),
      ...(this.prompt === undefined ? {} : { prompt: this.prompt }),
      ...(this.deadline === undefined ? {} : { deadline: this.deadline }),
    });
  }

  protected override print(given: unknown): string {
    const answer = given as PlaceExplanation;
    const rows = answer.candidates.map((one) => [
      one.upstream,
      one.dataCentre,
      one.online,
      one.batch,
      one.unseen,
      one.slots,
      one.slowness,
      one.waitMs,
      one.newsAgeMs ?? "-",
      one.ruledOut ?? "",
    ]);
    return `${printOutcome(answer)}${printTable(HEADINGS, rows)}`;
  }
}

import { Command, Option } from "clipanion";
import type { ConfigAnswer, StatusAnswer } from "../client/types.ts";
import { printTable } from "../output/print_table.ts";
import { BaseCommand } from "./base_command.ts";

type StateChange = { readonly id: string; readonly revision: number };

abstract class ChangeStateCommand extends BaseCommand {
  protected abstract readonly action: "take-out" | "bring-back";
  protected abstract readonly id: string;

  protected override run(): Promise<unknown> {
    const id = encodeURIComponent(this.id);
    return this.client.call<StateChange>({
      method: "POST",
      path: `data-centres/${id}/${this.action}`,
    });
  }

  protected override print(answer: unknown): string {
    const { id, revision } = answer as StateChange;
    return `${id}: ${this.action}, revision ${revision}\n`;
  }
}

class TakeOutCommand extends ChangeStateCommand {
  static override paths = [["data-centre", "take-out"]];
  static override usage = Command.Usage({
    category: "Data centres",
    description: "Take a data centre out of service: it receives no new work",
  });
  protected override readonly action = "take-out";
  readonly id = Option.String({ name: "DATA-CENTRE" });
}

class BringBackCommand extends ChangeStateCommand {
  static override paths = [["data-centre", "bring-back"]];
  static override usage = Command.Usage({
    category: "Data centres",
    description: "Bring a data centre back into service; its upstreams ramp up",
  });
  protected override readonly action = "bring-back";
  readonly id = Option.String({ name: "DATA-CENTRE" });
}

class DataCentreListCommand extends BaseCommand {
  static override paths = [["data-centre", "list"], ["data-centre"]];
  static override usage = Command.Usage({
    category: "Data centres",
    description: "List the data centres with their state and instances",
  });

  protected override async run(): Promise<unknown> {
    const { document } = await this.client.get<ConfigAnswer>("config");
    const { instances } = await this.client.get<StatusAnswer>("status");
    return Object.entries(document.dataCentres).map(([id, { state }]) => ({
      id,
      state,
      instances: instances.filter(({ dataCentre }) => dataCentre === id).length,
    }));
  }

  protected override print(answer: unknown): string {
    const rows = (
      answer as readonly { id: string; state: string; instances: number }[]
    ).map(({ id, state, instances }) => [id, state, instances]);
    return printTable(["DATA CENTRE", "STATE", "INSTANCES"], rows);
  }
}

/** Commands `data-centre take-out|bring-back|list`. */
export const DATA_CENTRE_COMMANDS = [
  TakeOutCommand,
  BringBackCommand,
  DataCentreListCommand,
] as const;

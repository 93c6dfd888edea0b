import { Command, Option } from "clipanion";
import { BaseCommand } from "./base_command.ts";

type Issued = {
  readonly id: string;
  readonly key: string;
  readonly revision: number;
};

class KeyIssueCommand extends BaseCommand {
  static override paths = [["key", "issue"]];
  static override usage = Command.Usage({
    category: "Tenant keys",
    description: "Issue a tenant key; the key is shown only once",
  });
  readonly customer = Option.String({ name: "CUSTOMER" });

  protected override run(): Promise<unknown> {
    const customer = encodeURIComponent(this.customer);
    return this.client.call<Issued>({
      method: "POST",
      path: `customers/${customer}/keys`,
    });
  }

  protected override print(answer: unknown): string {
    const { id, key, revision } = answer as Issued;
    return `id ${id}\nkey ${key}\nrevision ${revision}\n`;
  }
}

class KeyWithdrawCommand extends BaseCommand {
  static override paths = [["key", "withdraw"]];
  static override usage = Command.Usage({
    category: "Tenant keys",
    description: "Withdraw a tenant key; its streams in flight are ended",
  });
  readonly customer = Option.String({ name: "CUSTOMER" });
  readonly id = Option.String({ name: "KEY-ID" });

  protected override run(): Promise<unknown> {
    const customer = encodeURIComponent(this.customer);
    const id = encodeURIComponent(this.id);
    return this.client.call<Issued>({
      method: "DELETE",
      path: `customers/${customer}/keys/${id}`,
    });
  }

  protected override print(answer: unknown): string {
    return `revision ${(answer as Issued).revision}\n`;
  }
}

/** Commands `key issue|withdraw`. */
export const KEY_COMMANDS = [KeyIssueCommand, KeyWithdrawCommand] as const;

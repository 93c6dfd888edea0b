import { Command } from "clipanion";
import type { AdminClient } from "../client/admin_client.ts";
import { AdminError } from "../client/admin_error.ts";
import { EXIT_CODES } from "../client/exit_codes.ts";
import type { ToolContext } from "./types.ts";

/** Base class of the commands; handles output and error reports. */
export abstract class BaseCommand extends Command<ToolContext> {
  protected get client(): AdminClient {
    return this.context.client;
  }

  /** Runs the command and returns the answer to print as text or JSON. */
  protected abstract run(): Promise<unknown>;

  /** Formats the answer as text. */
  protected abstract print(answer: unknown): string;

  override async execute(): Promise<number> {
    try {
      const answer = await this.run();
      const text = this.context.isJson
        ? `${JSON.stringify(answer)}\n`
        : this.print(answer);
      this.context.stdout.write(text);
      return EXIT_CODES.OK;
    } catch (error) {
      if (error instanceof AdminError) {
        this.#report(error);
        return error.exitCode;
      }
      throw error;
    }
  }

  #report({ message, details }: AdminError): void {
    if (this.context.isJson) {
      const body = { error: { message, ...details } };
      this.context.stderr.write(`${JSON.stringify(body)}\n`);
      return;
    }
    this.context.stderr.write(`gooseberryctl: ${message}\n`);
    const { faults = [] } = details as {
      readonly faults?: readonly { path: string; message: string }[];
    };
    faults.forEach(({ path, message: fault }) => {
      this.context.stderr.write(`  ${path}: ${fault}\n`);
    });
  }
}

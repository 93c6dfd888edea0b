/** The context that all commands share. */
import type { BaseContext } from "clipanion";
import type { AdminClient } from "../client/admin_client.ts";

export type ToolContext = BaseContext & {
  readonly client: AdminClient;
  readonly isJson: boolean;
};

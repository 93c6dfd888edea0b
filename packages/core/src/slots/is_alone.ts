import type { InstanceState } from "../instance/types.ts";
import { listRoster } from "./list_roster.ts";

/** Whether no other instance of the data centre is listed. */
export function isAlone(state: InstanceState): boolean {
  const { membership, self } = state;
  return membership.hasList && listRoster(state, self.dataCentre).length === 1;
}

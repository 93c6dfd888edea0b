import type { FleetView } from "../fleet/fleet_view.ts";
import type { TableCheck } from "../refusals/table_check.ts";
import { callErrors } from "./call_errors.ts";
import { type CallCheck, type CheckedCall, checkCall } from "./check_call.ts";

type CheckParts = {
  readonly view: Pick<FleetView, "table">;
  readonly tableCheck: Pick<TableCheck, "confirm">;
};

/**
 * Checks a call against the configuration in force. What that lacks is refused for
 * good only if it is the newest; otherwise the caller hears that it is not known.
 */
export async function checkCurrentCall(
  { view, tableCheck }: CheckParts,
  call: CheckedCall,
): Promise<CallCheck> {
  const check = checkCall(view.table, call);
  if (check.kind === "allowed") {
    return check;
  }
  const isSure = await tableCheck.confirm(check.missing);
  // The store may have shown a newer configuration meanwhile.
  const again = checkCall(view.table, call);
  return again.kind === "allowed" || isSure
    ? again
    : { ...again, fault: callErrors.configUncertain() };
}

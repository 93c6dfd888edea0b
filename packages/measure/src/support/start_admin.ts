import { createHash } from "node:crypto";
import { type Got, got } from "got";
import { type System, startSystem } from "./start_system.ts";

/** A small system with admin API clients for an operator and a viewer. */
export type AdminSystem = System & {
  readonly operator: Got;
  readonly viewer: Got;
};

/** Starts a system with the operator token `op` and the viewer token `view`. */
export async function startAdmin(): Promise<AdminSystem> {
  const hash = (token: string) =>
    createHash("sha256").update(token).digest("hex");
  const system = await startSystem({
    engines: 1,
    operators: [
      { name: "ana", tokenHash: hash("op"), role: "operator" },
      { name: "val", tokenHash: hash("view"), role: "viewer" },
    ],
  });
  const connect = (token: string): Got =>
    got.extend({
      prefixUrl: `${system.adminUrl}/admin/v1`,
      headers: { authorization: `Bearer ${token}` },
      responseType: "json",
      throwHttpErrors: false,
      retry: { limit: 0 },
    });
  return { ...system, operator: connect("op"), viewer: connect("view") };
}

import { createHash, timingSafeEqual } from "node:crypto";
import { AdminRefusal } from "./admin_refusal.ts";
import type { Operator, OperatorRole } from "./types.ts";

/**
 * Returns the operator with the given token; throws if the role is
 * insufficient.
 */
export function authenticateOperator(
  operators: readonly Operator[],
  authorization: string,
  needed: OperatorRole,
): Operator {
  const [scheme, token = ""] = authorization.split(" ");
  const digest = createHash("sha256").update(token).digest();
  const isBearer = scheme?.toLowerCase() === "bearer" && token !== "";
  const operator = operators.find(({ tokenHash }) =>
    timingSafeEqual(Buffer.from(tokenHash, "hex"), digest),
  );
  if (!isBearer || operator === undefined) {
    throw new AdminRefusal(
      401,
      "invalid_token",
      "a valid operator token is needed",
    );
  }
  if (needed === "operator" && operator.role !== "operator") {
    throw new AdminRefusal(403, "forbidden", "the role operator is needed");
  }
  return operator;
}

import { HttpRefusal } from "./http_refusal.ts";
import type { ChosenProfile } from "./types.ts";

/**
 * Throws a refusal that names the limit if a completion exceeds one of its
 * profile's limits.
 */
export function checkLimits(
  { name, profile }: ChosenProfile,
  request: { readonly model: string; readonly costTokens: number },
): void {
  const { models, tokens } = profile.limits;
  if (models !== undefined && !models.includes(request.model)) {
    const message = `model: profile ${name} does not allow "${request.model}"`;
    throw new HttpRefusal(403, message, { code: "model_not_allowed" });
  }
  if (request.costTokens > tokens) {
    const message =
      `max_tokens: prompt and answer may take ${request.costTokens} tokens; ` +
      `profile ${name} allows ${tokens}`;
    throw new HttpRefusal(400, message, { code: "too_many_tokens" });
  }
}

import { HttpRefusal } from "./http_refusal.ts";
import type { ChosenProfile } from "./types.ts";

/** Checks a completion against its profile's limits; names what exceeds. */
export function checkLimits(
  { name, profile }: ChosenProfile,
  asked: { readonly model: string; readonly costTokens: number },
): void {
  const { models, tokens } = profile.limits;
  if (models !== undefined && !models.includes(asked.model)) {
    const message = `model: profile ${name} does not allow "${asked.model}"`;
    throw new HttpRefusal(403, message, { code: "model_not_allowed" });
  }
  if (asked.costTokens > tokens) {
    const message =
      `max_tokens: prompt and answer may take ${asked.costTokens} tokens; ` +
      `profile ${name} allows ${tokens}`;
    throw new HttpRefusal(400, message, { code: "too_many_tokens" });
  }
}

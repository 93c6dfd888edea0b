import type { ConfigDocument, ProfileName } from "@gooseberryline/core";
import { HttpRefusal } from "./http_refusal.ts";
import type { ChosenProfile } from "./types.ts";

/** Chooses the named profile; refuses a name the document lacks. */
export function chooseProfile(
  document: ConfigDocument,
  name: string,
): ChosenProfile {
  const profile = Object.hasOwn(document.profiles, name)
    ? document.profiles[name]
    : undefined;
  if (profile === undefined) {
    throw new HttpRefusal(400, `unknown profile "${name}"`, {
      code: "unknown_profile",
    });
  }
  return { name: name as ProfileName, profile };
}

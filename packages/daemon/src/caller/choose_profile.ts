import type { ConfigDocument, ProfileName } from "@gooseberryline/core";
import { HttpRefusal } from "./http_refusal.ts";
import type { ChosenProfile } from "./types.ts";

/**
 * Returns the named profile; throws a refusal if the configuration doesn't
 * define it.
 */
export function chooseProfile(
  document: ConfigDocument,
  name: string,
  field = "profile",
): ChosenProfile {
  const profile = Object.hasOwn(document.profiles, name)
    ? document.profiles[name]
    : undefined;
  if (profile === undefined) {
    const quotedName = JSON.stringify(name);
    throw new HttpRefusal(400, `${field}: unknown profile ${quotedName}`, {
      code: "unknown_profile",
    });
  }
  return { name: name as ProfileName, profile };
}

import type { ConfigDocument, ProfileName } from "@gooseberryline/core";
import { HttpRefusal } from "./http_refusal.ts";
import type { ChosenProfile } from "./types.ts";

/** Chooses the named profile; refuses a name the document lacks. */
export function chooseProfile(
  document: ConfigDocument,
  name: string,
  field = "profile",
): ChosenProfile {
  const profile = Object.hasOwn(document.profiles, name)
    ? document.profiles[name]
    : undefined;
  if (profile === undefined) {
    const shown = JSON.stringify(name);
    throw new HttpRefusal(400, `${field}: unknown profile ${shown}`, {
      code: "unknown_profile",
    });
  }
  return { name: name as ProfileName, profile };
}

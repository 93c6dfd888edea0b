import { generate } from "selfsigned";
import type { Authority } from "./types.ts";

/** Creates a certificate authority for tests. */
export function createAuthority(): Promise<Authority> {
  return generate([{ name: "commonName", value: "authority" }], {
    algorithm: "sha256",
    extensions: [
      { name: "basicConstraints", cA: true, critical: true },
      { name: "keyUsage", keyCertSign: true, digitalSignature: true },
    ],
  });
}

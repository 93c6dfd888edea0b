/** Settings of an instance, read once at start. */
import type { z } from "zod";
import type { SETTINGS_SCHEMA } from "./settings_schema.ts";

export type Settings = z.infer<typeof SETTINGS_SCHEMA>;
export type ListenerSettings = Settings["callerListener"];
export type TlsSettings = NonNullable<ListenerSettings["tls"]>;
export type PeerListenerSettings = Settings["peerListener"];

/** A fault in a settings file and its position. */
export type SettingsFault = {
  readonly line: number;
  readonly column: number;
  /** Path of the key, e.g. `callerListener.port`. */
  readonly path: string;
  readonly message: string;
};

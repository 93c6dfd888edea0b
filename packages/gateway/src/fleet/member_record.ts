import { DUTIES, type FleetMember } from "@gooseberryline/core";
import { z } from "zod";
import { decodeJson } from "../decode_json.ts";

const PREFIX = "instances/";
const MAX_PORT = 65_535;

const PORT = z.number().int().nonnegative().max(MAX_PORT);

const SCHEMA = z.object({
  id: z.string(),
  incarnation: z.string(),
  address: z.ipv4(),
  port: PORT,
  relayPort: PORT,
  dataCentre: z.string(),
  duty: z.enum([DUTIES.serve, DUTIES.run]),
});

/** Keys and encoding of the store records by which instances register. */
export const memberRecord = {
  prefix: PREFIX,
  buildKey: (id: string): string => `${PREFIX}${id}`,
  parseKey: (key: string): string => key.slice(PREFIX.length),
  encode: (member: FleetMember): Buffer => Buffer.from(JSON.stringify(member)),
  /** Returns undefined for a value that is not an instance's record. */
  decode: (value: Buffer): FleetMember | undefined => decodeJson(SCHEMA, value),
} as const;

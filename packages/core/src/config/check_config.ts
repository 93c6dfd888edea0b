import { CONFIG_SCHEMA } from "./config_schema.ts";
import type { ConfigDocument, ConfigFault } from "./types.ts";

/** The valid document, or all faults found in it. */
export type CheckedConfig =
  | { readonly kind: "valid"; readonly document: ConfigDocument }
  | { readonly kind: "invalid"; readonly faults: readonly ConfigFault[] };

/** Validates a document: first its schema, then its references. */
export function checkConfig(input: unknown): CheckedConfig {
  const parsed = CONFIG_SCHEMA.safeParse(input);
  if (!parsed.success) {
    const faults = parsed.error.issues.map((issue) => ({
      path: issue.path.join("."),
      message: issue.message,
    }));
    return { kind: "invalid", faults };
  }
  const faults = findDanglingReferences(parsed.data);
  return faults.length > 0
    ? { kind: "invalid", faults }
    : { kind: "valid", document: parsed.data };
}

function findDanglingReferences(
  document: ConfigDocument,
): readonly ConfigFault[] {
  const upstreams = Object.entries(document.upstreams).flatMap(
    ([id, upstream]) => [
      ...requireEntry(
        document.services,
        upstream.service,
        `upstreams.${id}.service`,
      ),
      ...requireEntry(
        document.dataCentres,
        upstream.dataCentre,
        `upstreams.${id}.dataCentre`,
      ),
    ],
  );
  const openServices = Object.entries(document.services)
    .filter(([, { openToAll }]) => openToAll)
    .flatMap(([id, { openProfile }]) =>
      requireEntry(
        document.profiles,
        openProfile ?? "",
        `services.${id}.openProfile`,
      ),
    );
  const customers = Object.entries(document.customers).flatMap(
    ([id, customer]) => [
      ...requireEntry(
        document.profiles,
        customer.defaultProfile,
        `customers.${id}.defaultProfile`,
      ),
      ...requireEntry(
        document.profiles,
        customer.batchProfile,
        `customers.${id}.batchProfile`,
      ),
    ],
  );
  return [...upstreams, ...openServices, ...customers];
}

function requireEntry(
  table: Readonly<Record<string, unknown>>,
  name: string,
  path: string,
): readonly ConfigFault[] {
  return Object.hasOwn(table, name)
    ? []
    : [{ path, message: `names "${name}", which the document lacks` }];
}

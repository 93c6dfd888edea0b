import type { ConfigDocument, SectionPatch } from "./types.ts";

type Section = Readonly<Record<string, unknown>>;

/** Lists the entries that differ between two documents, by section. */
export function listChanges(
  before: ConfigDocument,
  after: ConfigDocument,
): Readonly<Record<string, SectionPatch>> {
  const patches = Object.entries(after).map(
    ([name, section]): readonly [string, SectionPatch] => [
      name,
      listSectionChanges(
        (before as Readonly<Record<string, Section>>)[name] ?? {},
        section as Section,
      ),
    ],
  );
  return Object.fromEntries(
    patches.filter(
      ([, { set, drop }]) => drop.length > 0 || Object.keys(set).length > 0,
    ),
  );
}

function listSectionChanges(before: Section, after: Section): SectionPatch {
  const changed = Object.entries(after).filter(
    ([id, entry]) => !isEqual(before[id], entry),
  );
  const drop = Object.keys(before).filter((id) => !Object.hasOwn(after, id));
  return { set: Object.fromEntries(changed), drop };
}

function isEqual(a: unknown, b: unknown): boolean {
  return a === b || JSON.stringify(a) === JSON.stringify(b);
}

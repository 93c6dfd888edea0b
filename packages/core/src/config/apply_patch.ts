import type { Config, ConfigDocument, ConfigPatch } from "./types.ts";

type Section = Readonly<Record<string, unknown>>;

/**
 * Applies a patch to a configuration. Returns undefined if the patch starts
 * from another revision.
 */
export function applyPatch(
  { revision, document }: Config,
  patch: ConfigPatch,
): Config | undefined {
  if (patch.from !== revision) {
    return undefined;
  }
  const sections = document as Readonly<Record<string, Section>>;
  const changed = Object.entries(patch.sections).map(
    ([name, { set, drop }]) => {
      const retained = Object.entries(sections[name] ?? {}).filter(
        ([id]) => !drop.includes(id),
      );
      return [name, { ...Object.fromEntries(retained), ...set }] as const;
    },
  );
  const patched = { ...sections, ...Object.fromEntries(changed) };
  return { revision: patch.to, document: patched as ConfigDocument };
}

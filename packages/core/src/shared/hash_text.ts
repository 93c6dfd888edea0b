const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hashes text to an unsigned 32-bit integer (FNV-1a and a final mix). */
export function hashText(text: string): number {
  const raw = Array.from(text).reduce(
    (hash, char) =>
      Math.imul(hash ^ (char.codePointAt(0) ?? 0), FNV_PRIME) >>> 0,
    FNV_OFFSET,
  );
  const mixed = Math.imul(raw ^ (raw >>> 16), 0x85ebca6b);
  return (mixed ^ (mixed >>> 13)) >>> 0;
}

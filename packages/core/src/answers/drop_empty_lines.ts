const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;

/** Returns the bytes after empty lines, which parsers pass over before a head. */
export function dropEmptyLines(bytes: Buffer): Buffer {
  const start = bytes.findIndex(
    (byte) => byte !== LINE_FEED && byte !== CARRIAGE_RETURN,
  );
  return bytes.subarray(start === -1 ? bytes.length : start);
}

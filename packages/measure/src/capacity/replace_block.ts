/** Replaces the content between the page's markers for `name`. */
export function replaceBlock(
  page: string,
  name: string,
  content: string,
): string {
  const startMarker = `<!-- ${name} -->`;
  const endMarker = `<!-- end of ${name} -->`;
  const startIndex = page.indexOf(startMarker);
  const endIndex = page.indexOf(endMarker);
  if (startIndex < 0 || endIndex < startIndex) {
    throw new Error(`no block "${name}" in the page`);
  }
  const head = page.slice(0, startIndex + startMarker.length);
  return `${head}\n\n${content}\n${page.slice(endIndex)}`;
}

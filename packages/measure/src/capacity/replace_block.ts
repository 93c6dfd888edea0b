/** Replaces what stands between a page's markers of this name. */
export function replaceBlock(
  page: string,
  name: string,
  content: string,
): string {
  const start = `<!-- ${name} -->`;
  const end = `<!-- end of ${name} -->`;
  const from = page.indexOf(start);
  const to = page.indexOf(end);
  if (from < 0 || to < from) {
    throw new Error(`the page has no block "${name}"`);
  }
  const head = page.slice(0, from + start.length);
  return `${head}\n\n${content}\n${page.slice(to)}`;
}

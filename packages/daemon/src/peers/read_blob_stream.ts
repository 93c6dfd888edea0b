/** A chunk of a streamed blob; the first chunk carries the name. */
type Chunk = { readonly name: string; readonly data: Buffer };

/**
 * Reads the file name and then the content from a stream of chunks. Reading the
 * content fails if the sender aborts, so that no partial file is stored.
 */
export async function readBlobStream(
  chunks: AsyncIterable<Chunk>,
  isCancelled: () => boolean,
): Promise<{
  readonly name: string;
  readonly content: AsyncIterable<Buffer>;
}> {
  const iterator = chunks[Symbol.asyncIterator]();
  const first = await iterator.next();
  if (first.done === true || first.value.name === "") {
    throw new Error("the first chunk names no file");
  }
  const { name, data } = first.value;
  return {
    name,
    content: streamContent(data, { rest: iterator, isCancelled }),
  };
}

async function* streamContent(
  first: Buffer,
  {
    rest,
    isCancelled,
  }: {
    readonly rest: AsyncIterator<Chunk>;
    readonly isCancelled: () => boolean;
  },
): AsyncIterable<Buffer> {
  yield first;
  while (true) {
    const next = await rest.next();
    if (isCancelled()) {
      throw new Error("the sender broke off");
    }
    if (next.done === true) {
      return;
    }
    yield next.value.data;
  }
}

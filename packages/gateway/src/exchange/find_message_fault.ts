import { validateHeaderName, validateHeaderValue } from "node:http";
import { describeError } from "../describe_error.ts";

type MessageParts = {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
};

const PATH = /^\/[\x21-\xff]*$/;

/** Says why no request can carry these parts; undefined if one can. */
export function findMessageFault({
  path,
  headers,
}: MessageParts): string | undefined {
  if (!PATH.test(path)) {
    return "path: no request carries it";
  }
  try {
    Object.entries(headers).forEach(([name, value]) => {
      validateHeaderName(name);
      validateHeaderValue(name, value);
    });
    return undefined;
  } catch (error) {
    return describeError(error);
  }
}

/** Names what a route table lacks: a key, or the routes at the head of a path. */
export const missingNames = {
  buildKeyName: (key: string): string => `key ${key}`,
  /** Routes are told apart by the first folder of their prefix or path. */
  buildRouteName: (host: string, path: string): string => {
    const [, folder = ""] = path.split("/", 2);
    return `route ${host.toLowerCase()}/${folder}`;
  },
} as const;

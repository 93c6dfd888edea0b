import type { AdminClient } from "../client/admin_client.ts";
import type { ConfigAnswer } from "../client/types.ts";

/** Changes the document with a compare-and-swap on the revision read. */
export async function changeDocument(
  client: AdminClient,
  change: (document: ConfigAnswer["document"]) => unknown,
): Promise<ConfigAnswer> {
  const { revision, document } = await client.get<ConfigAnswer>("config");
  return client.call<ConfigAnswer>({
    method: "PUT",
    path: "config",
    json: change(document),
    headers: { "if-match": `"${revision}"` },
  });
}

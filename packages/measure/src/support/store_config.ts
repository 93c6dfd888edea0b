import type { Config, ConfigDocument } from "@gooseberryline/core";
import type { FakeStore } from "@gooseberryline/fakes";
import { connectPlatform } from "@gooseberryline/protocol";

const CONFIG_KEY = "config/current";

/** Stores a changed configuration document under the next revision. */
export async function storeConfig(
  store: FakeStore,
  change: (document: ConfigDocument) => ConfigDocument,
): Promise<void> {
  const platform = connectPlatform(store.url);
  const record = await platform.get(CONFIG_KEY);
  const { revision, document } = JSON.parse(record?.value ?? "") as Config;
  const next = { revision: revision + 1, document: change(document) };
  await platform.cas({
    key: CONFIG_KEY,
    value: JSON.stringify(next),
    expect: record?.version ?? 0,
  });
}

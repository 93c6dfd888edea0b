import getRawBody from "raw-body";
import { listenOn } from "../listen_on.ts";
import type { FakeService, ServiceCall } from "./types.ts";

/** Starts a plain HTTP service on loopback that records its requests. */
export async function startService(): Promise<FakeService> {
  const calls: ServiceCall[] = [];
  const control = { status: 200 };
  const listening = await listenOn(async (req, res) => {
    const body = (await getRawBody(req)).toString();
    const { method = "", url = "", headers } = req;
    calls.push({ method, url, headers, body });
    res.writeHead(control.status, {
      "content-type": "application/json",
      "set-cookie": "session=1",
    });
    res.end(JSON.stringify({ method, url }));
  });
  return {
    url: listening.url,
    calls,
    setStatus: (status) => {
      control.status = status;
    },
    close: listening.close,
  };
}

import { Readable } from "node:stream";
import type Router from "@koa/router";
import type { Context } from "koa";
import type { FileStore } from "../jobs/file_store.ts";
import type { FileMeta } from "../jobs/types.ts";
import { HttpRefusal } from "./http_refusal.ts";
import { readUpload } from "./read_upload.ts";
import { refuseStorage } from "./refuse_storage.ts";
import type { Caller } from "./types.ts";

type FileParts = {
  readonly files: FileStore;
  readonly authenticate: (ctx: Context) => Caller;
};

/** Registers the routes for callers' files on the router. */
export function addFileRoutes(router: Router, parts: FileParts): void {
  const { files, authenticate } = parts;
  router.post("/v1/files", async (ctx) => {
    const { customerId: customer } = authenticate(ctx);
    const upload = await readUpload(ctx.req, files);
    const { meta } = await files
      .commit({ ...upload, customer })
      .catch(() => refuseStorage());
    ctx.body = describeFile(meta);
  });
  router.get("/v1/files/:id", async (ctx) => {
    ctx.body = describeFile(await findFile(ctx, parts));
  });
  router.get("/v1/files/:id/content", async (ctx) => {
    const meta = await findFile(ctx, parts);
    const content = await files.read(meta.id).catch(() => refuseStorage());
    ctx.type = "application/octet-stream";
    ctx.length = meta.bytes;
    ctx.body = Readable.from(content);
  });
}

async function findFile(ctx: Context, parts: FileParts): Promise<FileMeta> {
  const { customerId } = parts.authenticate(ctx);
  const id = String(ctx.params.id);
  const meta = await parts.files.find(id, customerId);
  if (meta === undefined) {
    throw new HttpRefusal(404, `no file ${id}`, { code: "file_not_found" });
  }
  return meta;
}

function describeFile(meta: FileMeta): Readonly<Record<string, unknown>> {
  return {
    id: meta.id,
    object: "file",
    bytes: meta.bytes,
    created_at: meta.createdS,
    filename: meta.filename,
    purpose: meta.purpose,
    status: "processed",
  };
}

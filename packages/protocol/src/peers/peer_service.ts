import { fileURLToPath } from "node:url";
import { loadPackageDefinition } from "@grpc/grpc-js";
import { loadSync } from "@grpc/proto-loader";
import type { ProtoGrpcType } from "../generated/peer.ts";

const PROTO_FILE = new URL("../../proto/peer.proto", import.meta.url);

/**
 * Client and service definition of the gRPC protocol between instances. Its
 * types are generated: `npm run generate -w packages/protocol`.
 */
export const PEER_SERVICE = loadPeerService();

function loadPeerService(): ProtoGrpcType["gooseberryline"]["Peer"] {
  const definition = loadSync(fileURLToPath(PROTO_FILE), {
    longs: Number,
    defaults: true,
  });
  const loaded = loadPackageDefinition(definition) as unknown as ProtoGrpcType;
  return loaded.gooseberryline.Peer;
}

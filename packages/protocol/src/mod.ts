/** Protocols between instances, and between instances and the platform. */
export type { BlobInfo__Output as BlobInfo } from "./generated/gooseberryline/BlobInfo.ts";
export type { Envelope } from "./generated/gooseberryline/Envelope.ts";
export type {
  PeerClient,
  PeerHandlers,
} from "./generated/gooseberryline/Peer.ts";
export { decodeMessage } from "./peers/decode_message.ts";
export { encodeMessage } from "./peers/encode_message.ts";
export { PEER_SERVICE } from "./peers/peer_service.ts";
export type * from "./peers/types.ts";
export { connectPlatform } from "./platform/connect_platform.ts";
export {
  PlatformError,
  type PlatformFault,
} from "./platform/platform_error.ts";
export type * from "./platform/types.ts";

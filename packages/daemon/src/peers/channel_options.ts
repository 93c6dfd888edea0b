import type { ChannelOptions } from "@grpc/grpc-js";

const KEEPALIVE_MS = 2_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;
const MAX_RECONNECT_MS = 1_000;
const MIN_RECONNECT_MS = 100;
const MAX_MESSAGE_BYTES = 8_388_608;

/**
 * gRPC channel options for clients and servers. Keepalive pings detect a dead
 * connection within `KEEPALIVE_MS + KEEPALIVE_TIMEOUT_MS` and replace it. The
 * library's retries are disabled because they would resend outdated messages.
 */
export const CHANNEL_OPTIONS: ChannelOptions = {
  "grpc.keepalive_time_ms": KEEPALIVE_MS,
  "grpc.keepalive_timeout_ms": KEEPALIVE_TIMEOUT_MS,
  "grpc.keepalive_permit_without_calls": 1,
  "grpc.initial_reconnect_backoff_ms": MIN_RECONNECT_MS,
  "grpc.max_reconnect_backoff_ms": MAX_RECONNECT_MS,
  "grpc.max_receive_message_length": MAX_MESSAGE_BYTES,
  "grpc.max_send_message_length": MAX_MESSAGE_BYTES,
  "grpc.use_local_subchannel_pool": 1,
  "grpc.enable_http_proxy": 0,
  "grpc.enable_retries": 0,
};

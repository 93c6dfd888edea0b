import type { DataCentreId, InstanceId } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { decodeMessage } from "./decode_message.ts";
import { encodeMessage } from "./encode_message.ts";
import { PEER_SERVICE } from "./peer_service.ts";
import type { PeerDelivery } from "./types.ts";

const delivery: PeerDelivery = {
  from: "one" as InstanceId,
  incarnation: "1a",
  sequence: 7,
  message: {
    kind: "heartbeat",
    dataCentre: "a" as DataCentreId,
    address: "127.0.0.1:9",
    incarnation: "1a",
    revision: 3,
    isStopping: false,
    isWatchBroken: false,
    hasDisk: false,
    number: 7,
    sentMs: 1_000,
  },
};

const { requestSerialize, requestDeserialize } = PEER_SERVICE.service.Deliver;

const encodeOverWire = (sent: PeerDelivery) =>
  requestDeserialize(requestSerialize(encodeMessage(sent)));

test("a message is unchanged after encoding and decoding", () => {
  const decoded = decodeMessage(encodeOverWire(delivery));
  expect(decoded).toEqual({ kind: "message", delivery });
});

test("an unknown message kind is reported", () => {
  const envelope = { ...encodeOverWire(delivery), kind: "toString" };
  expect(decodeMessage(envelope)).toEqual({
    kind: "unknown-kind",
    name: "toString",
  });
});

test.each(["", "[]", "null", "{"])(
  "malformed fields %j are reported",
  (json) => {
    const envelope = { ...encodeOverWire(delivery), json };
    expect(decodeMessage(envelope).kind).toBe("broken");
  },
);

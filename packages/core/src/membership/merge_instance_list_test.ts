import { expect, test } from "vitest";
import type { DataCentreId, InstanceId } from "../ids/types.ts";
import { createInstance } from "../instance/create_instance.ts";
import { stepInstance } from "../instance/step_instance.ts";
import type { InstanceState } from "../instance/types.ts";
import { MEMBERSHIP } from "./constants.ts";

const SELF = {
  instanceId: "a-0" as InstanceId,
  dataCentre: "a" as DataCentreId,
  address: "10.0.0.1:7000",
  incarnation: "i1",
  hasDisk: true,
};
const PEER_ID = "b-0" as InstanceId;
const OLD_ADDRESS = "10.0.1.1:7000";
const NEW_ADDRESS = "10.0.1.1:7001";

function list(
  state: InstanceState,
  address: string,
  nowMs: number,
  isComplete = true,
) {
  const listed = { instanceId: PEER_ID, dataCentre: "b", address };
  const instances = [{ ...listed, state: "live" as const }];
  const event = { kind: "instances-listed" as const, instances, isComplete };
  return stepInstance(state, event, nowMs).state;
}

function handleHeartbeat(state: InstanceState, address: string, nowMs: number) {
  const message = {
    kind: "heartbeat" as const,
    dataCentre: "b" as DataCentreId,
    address,
    incarnation: "i2",
    revision: 0,
    isStopping: false,
    isWatchBroken: false,
    hasDisk: true,
    number: 1,
    sentMs: nowMs,
  };
  const event = { kind: "peer-message" as const, from: PEER_ID, message };
  return stepInstance(state, event, nowMs).state;
}

const readAddress = (state: InstanceState): string | undefined =>
  state.membership.members[PEER_ID]?.address;

// Guards against an instance that is started anew elsewhere and never heard again,
// because its peers send to where it was.
test("a silent member's address is that of the newest list", () => {
  const known = list(createInstance(SELF, 1), OLD_ADDRESS, 1_000);
  expect(readAddress(known)).toBe(OLD_ADDRESS);
  expect(readAddress(list(known, NEW_ADDRESS, 2_000))).toBe(NEW_ADDRESS);
});

test("a member that was heard of lately keeps the address that it named", () => {
  const heard = handleHeartbeat(createInstance(SELF, 1), NEW_ADDRESS, 10_000);
  const listed = list(heard, OLD_ADDRESS, 10_100);
  expect(readAddress(listed)).toBe(NEW_ADDRESS);
  const silentMs = 10_000 + MEMBERSHIP.LIVENESS_TIMEOUT_MS;
  expect(readAddress(list(listed, OLD_ADDRESS, silentMs))).toBe(OLD_ADDRESS);
});

test("a peer's list names no other address of a known member", () => {
  const known = list(createInstance(SELF, 1), OLD_ADDRESS, 1_000);
  const offered = list(known, NEW_ADDRESS, 9_000, false);
  expect(readAddress(offered)).toBe(OLD_ADDRESS);
});

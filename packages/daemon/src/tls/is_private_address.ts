import { BlockList, isIPv6 } from "node:net";

const PRIVATE_RANGES = buildPrivateRanges();

/**
 * Returns whether an IP address is a loopback, link-local or private address.
 */
export function isPrivateAddress(address: string): boolean {
  return PRIVATE_RANGES.check(address, isIPv6(address) ? "ipv6" : "ipv4");
}

function buildPrivateRanges(): BlockList {
  const list = new BlockList();
  list.addSubnet("127.0.0.0", 8);
  list.addSubnet("10.0.0.0", 8);
  list.addSubnet("172.16.0.0", 12);
  list.addSubnet("192.168.0.0", 16);
  list.addSubnet("169.254.0.0", 16);
  list.addSubnet("::1", 128, "ipv6");
  list.addSubnet("fc00::", 7, "ipv6");
  list.addSubnet("fe80::", 10, "ipv6");
  return list;
}

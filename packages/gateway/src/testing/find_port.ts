/** Finds a free port on the loopback address that no other connection gets. */
export { findPort } from "@gooseberryline/fakes";

/** What the system's processes say to the platform and to each other. */
export { connectPlatform } from "./platform/connect_platform.ts";
export {
  PlatformError,
  type PlatformFault,
} from "./platform/platform_error.ts";
export type * from "./platform/types.ts";

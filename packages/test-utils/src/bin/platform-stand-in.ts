/**
 * Process of the platform stand-in.
 */
import * as platformStandIn from "../platform/platform-stand-in.js";
import * as standIn from "../stand-in.js";

await standIn.runStandIn((options: platformStandIn.PlatformOptions) =>
    new platformStandIn.PlatformStandIn(options).start()
);

/**
 * Process of the backend server stand-in.
 */
import * as backendServerStandIn from "../backend-server/backend-server-stand-in.js";
import * as standIn from "../stand-in.js";

await standIn.runStandIn((options: backendServerStandIn.BackendServerOptions) =>
    new backendServerStandIn.BackendServerStandIn(options).start()
);

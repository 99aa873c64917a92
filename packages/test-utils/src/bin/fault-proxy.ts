/**
 * Process of the fault-injecting proxy.
 */
import * as faultProxy from "../proxy/fault-proxy.js";
import * as standIn from "../stand-in.js";

await standIn.runStandIn((options: faultProxy.ProxyOptions) => new faultProxy.FaultProxy(options).start());

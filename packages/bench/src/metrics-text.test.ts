import * as uvu from "uvu";
import * as assert from "uvu/assert";
import * as metricsText from "./metrics-text.js";

const suite = uvu.suite("metrics text");
const text = `# HELP bytes_total Bytes.
bytes_total{path="fleet",direction="sent"} 12
bytes_total{path="peers",direction="sent"} 30.5
process_cpu_seconds_total 1.5
`;

suite("sums the samples whose labels match", () => {
    const samples = metricsText.parseSamples(text);
    assert.is(metricsText.sumSamples(samples, "bytes_total"), 42.5);
    assert.is(metricsText.sumSamples(samples, "bytes_total", { path: "fleet" }), 12);
    assert.is(metricsText.sumSamples(samples, "process_cpu_seconds_total"), 1.5);
    assert.is(metricsText.sumSamples(samples, "absent"), 0);
});

suite.run();

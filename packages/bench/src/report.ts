/**
 * Prints results of a run as plain lines.
 */
import * as callRecord from "./call-record.js";
import * as promiseChecker from "./promise-checker.js";

export function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

/** A line for each outcome. */
export function printCounts(counts: readonly callRecord.CallCount[]): void {
    for (const count of counts) {
        print(`${String(count.calls).padStart(8)}  ${count.label}`);
    }
}

/** A line for each broken promise, and one with their number. */
export function printViolations(violations: readonly promiseChecker.Violation[]): void {
    for (const violation of violations) {
        const time = new Date(violation.at).toISOString();
        print(`VIOLATION ${violation.promise}: ${violation.detail} (${time})`);
    }
    print(`${violations.length} violations of promises.`);
}

/**
 * Prints results of a run as plain text.
 */
import * as callRecord from "./call-record.js";
import * as guaranteeChecker from "./guarantee-checker.js";

export function print(line: string): void {
    process.stdout.write(`${line}\n`);
}

/** Prints a line for each final outcome. */
export function printCounts(counts: readonly callRecord.CallCount[]): void {
    for (const count of counts) {
        print(`${String(count.calls).padStart(8)}  ${count.label}`);
    }
}

/** Prints a line for each violation, and their number. */
export function printViolations(violations: readonly guaranteeChecker.Violation[]): void {
    for (const violation of violations) {
        const time = new Date(violation.at).toISOString();
        print(`VIOLATION ${violation.promise}: ${violation.detail} (${time})`);
    }
    print(`${violations.length} violations of promises.`);
}

/**
 * Text forms for the terminal: tables, times and the progress of a planned stop.
 */
import * as schema from "@catkinwharf/schema";

/** Rows of cells under named columns. */
export interface Table {
    readonly columns: readonly string[];
    readonly rows: readonly (readonly string[])[];
}

const columnGap = "  ";
const progressWidth = 20;

/** Lines of a table with aligned columns; a note in place of an empty one. */
export function renderTable(table: Table, emptyNote: string): string {
    if (table.rows.length === 0) {
        return emptyNote;
    }
    const lines = [table.columns.map(column => column.toUpperCase()), ...table.rows];
    const widths = table.columns.map((_, index) => Math.max(...lines.map(line => (line[index] ?? "").length)));
    return lines
        .map(line => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join(columnGap).trimEnd())
        .join("\n");
}

/** ISO 8601 text for a time in ms since 1970; a dash for 0. */
export function renderTime(timeMs: number): string {
    const isDate = timeMs > 0 && Number.isFinite(new Date(timeMs).getTime());
    return isDate ? new Date(timeMs).toISOString() : "-";
}

/** A bar that shows the share of instances that came back. */
export function renderBar(done: number, total: number): string {
    const filled = total === 0 ? progressWidth : Math.min(progressWidth, Math.floor(progressWidth * done / total));
    return `[${"#".repeat(filled)}${".".repeat(progressWidth - filled)}]`;
}

/** One line that tells how far a planned stop is, and why it waits. */
export function renderProgress(status: schema.operator.StopStatus): string {
    const overdue = status.overdue.length === 0 ? "" : `, overdue: ${status.overdue.join(" ")}`;
    const waiting = status.waitingFor === "" ? "" : `, waiting for: ${status.waitingFor}`;
    return `${status.stop}: ${status.state}, ${status.done} of ${status.total} done, ${status.inProgress} in progress`
        + `${overdue}${waiting}`;
}

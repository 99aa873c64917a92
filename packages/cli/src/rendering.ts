/**
 * Renders tables, times and the progress of planned stops for the terminal.
 */
import * as schema from "@catkinwharf/schema";

/** Column headings and the rows of cells below them. */
export interface Table {
    readonly columns: readonly string[];
    readonly rows: readonly (readonly string[])[];
}

const columnGap = "  ";
const progressBarWidth = 20;

/** Renders a table with aligned columns; `emptyNote` is returned for a table without rows. */
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

/** ISO 8601 text for a time in ms since 1970; a dash for 0, negative and out-of-range times. */
export function renderTime(timeMs: number): string {
    const isValidDate = timeMs > 0 && Number.isFinite(new Date(timeMs).getTime());
    return isValidDate ? new Date(timeMs).toISOString() : "-";
}

/** Progress bar for the share of instances that are done. */
export function renderProgressBar(done: number, total: number): string {
    const filled = total === 0
        ? progressBarWidth
        : Math.min(progressBarWidth, Math.floor(progressBarWidth * done / total));
    return `[${"#".repeat(filled)}${".".repeat(progressBarWidth - filled)}]`;
}

/** One line with the state of a planned stop, its progress, overdue instances and what it waits for. */
export function renderProgress(status: schema.operator.StopStatus): string {
    const overdue = status.overdue.length === 0 ? "" : `, overdue: ${status.overdue.join(" ")}`;
    const waiting = status.waitingFor === "" ? "" : `, waiting for: ${status.waitingFor}`;
    return `${status.stop}: ${status.state}, ${status.done} of ${status.total} done, ${status.inProgress} in progress`
        + `${overdue}${waiting}`;
}

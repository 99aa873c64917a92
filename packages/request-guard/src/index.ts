export * as connectionTable from "./connection-table.js";
export * as guardLimits from "./guard-limits.js";
export * as memoryBudget from "./memory-budget.js";
export * from "./request-guard.js";

/**
 * Encoding of the messages that leads send each other about the workspaces' limits.
 *
 * @module
 */

import type {
  Handover,
  QuotaUse,
  ShareReport,
  ShareRow,
  StandbyRow,
} from "../quota/mod.ts";

/** Rows are sent as arrays, since there is one per workspace four times a second. */
type WireShareRow = readonly [
  workspace: string,
  demandPerS: number,
  share: number,
  given: number,
  taken: number,
];

type WireStandbyRow = readonly [
  workspace: string,
  given: Readonly<Record<string, number>>,
  taken: Readonly<Record<string, number>>,
  level: number,
  units?: number,
];

/** Encodes the shares that another region is sent. */
export function encodeShares(
  { region, rows, isComplete, asks }: ShareReport,
): unknown {
  const list: WireShareRow[] = rows.map((
    { workspace, demandPerS, share, given, taken },
  ) => [workspace, demandPerS, share, given, taken]);
  return {
    region,
    rows: list,
    ...(isComplete ? { isComplete } : {}),
    ...(asks.length > 0 ? { asks } : {}),
  };
}

/** Whether a received value is a number of units. */
export function isCounter(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

/**
 * Decodes a datagram; `undefined` if it is malformed. Malformed rows are skipped, and the report then counts as incomplete,
 * as does one whose sender doesn't tell.
 */
export function decodeShares(params: unknown): ShareReport | undefined {
  const report = params as Partial<Record<keyof ShareReport, unknown>> | null;
  if (typeof report?.region !== "string" || !Array.isArray(report.rows)) {
    return undefined;
  }
  const rows = report.rows.flatMap((row: unknown): ShareRow[] => {
    if (!Array.isArray(row) || typeof row[0] !== "string") return [];
    const [workspace, demandPerS, share, given, taken] = row;
    return [demandPerS, share, given, taken].every(isCounter)
      ? [{ workspace, demandPerS, share, given, taken }]
      : [];
  });
  const asks: unknown[] = Array.isArray(report.asks) ? report.asks : [];
  return {
    region: report.region,
    rows,
    isComplete: report.isComplete === true &&
      rows.length === report.rows.length,
    asks: asks.filter((name): name is string => typeof name === "string"),
  };
}

/** Encodes the state that the other leads of this region are sent. */
export function encodeStandby(rows: readonly StandbyRow[]): unknown {
  const list: WireStandbyRow[] = rows.map((
    { workspace, given, taken, level, units },
  ) =>
    units === undefined
      ? [workspace, given, taken, level]
      : [workspace, given, taken, level, units]
  );
  return { rows: list };
}

/** Encodes what the next lead to count is told. */
export function encodeHandover({ rows, unusedMs }: Handover): unknown {
  return { ...encodeStandby(rows) as object, unusedMs };
}

/** Decodes a datagram; `undefined` if it is malformed. */
export function decodeHandover(params: unknown): Handover | undefined {
  const unusedMs = (params as { unusedMs?: unknown } | null)?.unusedMs;
  if (!isCounter(unusedMs)) return undefined;
  return { rows: decodeStandby(params), unusedMs };
}

function areCounters(value: unknown): value is Record<string, number> {
  return typeof value === "object" && value !== null &&
    Object.values(value).every(isCounter);
}

/** Decodes a datagram; malformed rows are skipped. */
export function decodeStandby(params: unknown): StandbyRow[] {
  const rows = (params as { rows?: unknown } | null)?.rows;
  if (!Array.isArray(rows)) return [];
  return rows.flatMap((row: unknown): StandbyRow[] => {
    if (!Array.isArray(row) || typeof row[0] !== "string") return [];
    const [workspace, given, taken, level, units] = row;
    const isValid = areCounters(given) && areCounters(taken) &&
      Number.isFinite(level);
    if (!isValid) return [];
    return [{
      workspace,
      given,
      taken,
      level,
      ...(Number.isFinite(units) ? { units } : {}),
    }];
  });
}

/** Decodes what a request uses of its workspace's limit; `undefined` if it is malformed. */
export function decodeUse(value: unknown): QuotaUse | undefined {
  const use = value as Partial<QuotaUse> | null | undefined;
  return typeof use?.workspace === "string" && isCounter(use.units)
    ? { workspace: use.workspace, units: use.units }
    : undefined;
}

/** Encodes what a VM has granted from its local quotas. */
export function encodeUses(uses: readonly QuotaUse[]): unknown {
  return { uses };
}

/** Decodes a datagram; malformed uses are skipped. */
export function decodeUses(params: unknown): QuotaUse[] {
  const uses = (params as { uses?: unknown } | null)?.uses;
  if (!Array.isArray(uses)) return [];
  return uses.flatMap((value: unknown) => decodeUse(value) ?? []);
}

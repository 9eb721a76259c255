/**
 * What leads tell each other of the workspaces' limits.
 *
 * @module
 */

import type {
  QuotaUse,
  ShareReport,
  ShareRow,
  StandbyRow,
} from "../quota/mod.ts";

/** Rows go as lists: there is one a workspace, four times a second. */
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
];

/** Encodes what another region is told. */
export function encodeShares({ region, rows }: ShareReport): unknown {
  const list: WireShareRow[] = rows.map((
    { workspace, demandPerS, share, given, taken },
  ) => [workspace, demandPerS, share, given, taken]);
  return { region, rows: list };
}

function isCounter(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value) && value >= 0;
}

/** Reads a datagram; `undefined` if it is no note. Rows that can't be read are left out. */
export function decodeShares(params: unknown): ShareReport | undefined {
  const note = params as { region?: unknown; rows?: unknown } | null;
  if (typeof note?.region !== "string" || !Array.isArray(note.rows)) {
    return undefined;
  }
  const rows = note.rows.flatMap((row: unknown): ShareRow[] => {
    if (!Array.isArray(row) || typeof row[0] !== "string") return [];
    const [workspace, demandPerS, share, given, taken] = row;
    return [demandPerS, share, given, taken].every(isCounter)
      ? [{ workspace, demandPerS, share, given, taken }]
      : [];
  });
  return { region: note.region, rows };
}

/** Encodes what the leads of the own region are told. */
export function encodeStandby(rows: readonly StandbyRow[]): unknown {
  const list: WireStandbyRow[] = rows.map((
    { workspace, given, taken, level },
  ) => [workspace, given, taken, level]);
  return { rows: list };
}

function areCounters(value: unknown): value is Record<string, number> {
  return typeof value === "object" && value !== null &&
    Object.values(value).every(isCounter);
}

/** Reads a datagram; rows that can't be read are left out. */
export function decodeStandby(params: unknown): StandbyRow[] {
  const rows = (params as { rows?: unknown } | null)?.rows;
  if (!Array.isArray(rows)) return [];
  return rows.flatMap((row: unknown): StandbyRow[] => {
    if (!Array.isArray(row) || typeof row[0] !== "string") return [];
    const [workspace, given, taken, level] = row;
    return areCounters(given) && areCounters(taken) && Number.isFinite(level)
      ? [{ workspace, given, taken, level }]
      : [];
  });
}

/** Reads what a request uses of its workspace's limit; `undefined` if it is nothing. */
export function decodeUse(value: unknown): QuotaUse | undefined {
  const use = value as Partial<QuotaUse> | null | undefined;
  return typeof use?.workspace === "string" && isCounter(use.units)
    ? { workspace: use.workspace, units: use.units }
    : undefined;
}

/**
 * Checks of an edit against the whole table: references between rows, and names that only one row may have.
 *
 * @module
 */

import { rowKey, type TableRow } from "./rows.ts";
import type { RowChange, Table } from "./table.ts";

/** A fault in a row: the field, its value, and what is allowed. */
export interface RowFault {
  readonly key: string;
  readonly field: string;
  readonly value: string;
  readonly allowed: string;
}

/** Describes a fault in one readable line. */
export function describeFault(fault: RowFault): string {
  return `${fault.key}: ${fault.field} is "${fault.value}"; ${fault.allowed}`;
}

/** Returns the faults that these changes would leave in `after`, the table with the changes applied. */
export function checkChanges(
  after: Table,
  changes: readonly RowChange[],
): RowFault[] {
  const faults: RowFault[] = [];
  for (const change of changes) {
    if (change.type === "put") faults.push(...checkRow(after, change.row));
    else if (!after.get(change.key)) {
      faults.push(...checkDeleted(after, change.key));
    }
  }
  return faults;
}

function checkRow(table: Table, row: TableRow): RowFault[] {
  const key = rowKey(row);
  const faults: RowFault[] = [];
  const checkReference = (
    field: string,
    kind: "service" | "region",
    id: string,
  ) => {
    if (table.get(`${kind}/${id}`)) return;
    const allowed = `must be the id of a ${kind} row`;
    faults.push({ key, field, value: id, allowed });
  };
  switch (row.kind) {
    case "service":
      faults.push(...checkModels(table, row));
      break;
    case "region":
      for (const id of Object.keys(row.linkMs)) {
        checkReference("linkMs", "region", id);
      }
      break;
    case "traffic":
      checkReference("service", "service", row.service);
      checkReference("region", "region", row.region);
      for (const id of row.mayGoTo) checkReference("mayGoTo", "region", id);
      if (row.mayGoTo.includes(row.region)) {
        const allowed = "must be a region other than the row's own";
        faults.push({ key, field: "mayGoTo", value: row.region, allowed });
      }
      break;
    case "workspace":
      checkReference("home", "region", row.home);
      faults.push(...checkKeyDigests(table, row));
      break;
    case "upstream":
      checkReference("service", "service", row.service);
      checkReference("region", "region", row.region);
      break;
  }
  return faults;
}

/** Finds model names that another service has too: a caller's prompt could go to either of the two. */
function checkModels(
  table: Table,
  row: Extract<TableRow, { kind: "service" }>,
): RowFault[] {
  const faults: RowFault[] = [];
  for (const { row: other } of table.rows()) {
    if (other.kind !== "service" || other.id === row.id) continue;
    for (const model of row.models) {
      if (other.id !== model && !other.models.includes(model)) continue;
      const allowed = `must not be served by ${rowKey(other)} too`;
      faults.push({ key: rowKey(row), field: "models", value: model, allowed });
    }
  }
  return faults;
}

/** Finds keys that another workspace has too: one workspace could spend and read in the name of the other. */
function checkKeyDigests(
  table: Table,
  row: Extract<TableRow, { kind: "workspace" }>,
): RowFault[] {
  if (row.keyDigests.length === 0) return [];
  const faults: RowFault[] = [];
  for (const { row: other } of table.rows()) {
    if (other.kind !== "workspace" || other.id === row.id) continue;
    const shared = other.keyDigests.find((it) => row.keyDigests.includes(it));
    if (shared === undefined) continue;
    const allowed = `must not be a key of ${rowKey(other)} too`;
    const key = rowKey(row);
    faults.push({ key, field: "keyDigests", value: shared, allowed });
  }
  return faults;
}

function checkDeleted(table: Table, key: string): RowFault[] {
  const [kind, id] = key.split("/");
  if (kind !== "service" && kind !== "region") return [];
  for (const { row } of table.rows()) {
    const field = referenceTo(row, kind, id);
    if (field === undefined) continue;
    const allowed = `delete or change ${rowKey(row)} first`;
    return [{ key, field: `${row.kind}.${field}`, value: id, allowed }];
  }
  return [];
}

/** Returns the field in which a row refers to this service or region. */
function referenceTo(
  row: TableRow,
  kind: "service" | "region",
  id: string,
): string | undefined {
  if (row.kind === "traffic" || row.kind === "upstream") {
    if (row[kind] === id) return kind;
  }
  if (kind === "service") return undefined;
  if (row.kind === "traffic" && row.mayGoTo.includes(id)) return "mayGoTo";
  if (row.kind === "workspace" && row.home === id) return "home";
  if (row.kind === "region" && id in row.linkMs) return "linkMs";
  return undefined;
}

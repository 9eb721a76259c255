/**
 * The published JSON Schema of a table file: a list of rows. `table.schema.json` at the root is its committed copy.
 *
 * @module
 */

import { z } from "zod";
import { tableRow } from "./rows.ts";

/** The schema, as what an operator may write: fields with a default can be left out. */
export function tableSchema(): unknown {
  const rows = z.array(tableRow).meta({
    title: "ibisgap table",
    description: "All rows of the operators' table; see docs/TABLE.md.",
  });
  return z.toJSONSchema(rows, { io: "input" });
}

/** The text of `table.schema.json`. */
export function tableSchemaText(): string {
  return JSON.stringify(tableSchema(), null, 2) + "\n";
}

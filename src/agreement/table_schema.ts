/**
 * The published JSON Schema of a table file: a list of rows. `table.schema.json` at the root is its committed copy.
 *
 * @module
 */

import { z } from "zod";
import { tableRow } from "./rows.ts";

/** Returns the schema of what an operator may write: fields with a default can be omitted. */
export function tableSchema(): unknown {
  const rows = z.array(tableRow).meta({
    title: "ibisgap table",
    description: "All rows of the operators' table; see docs/TABLE.md.",
  });
  return z.toJSONSchema(rows, { io: "input" });
}

/** Returns the text of `table.schema.json`. */
export function tableSchemaText(): string {
  return JSON.stringify(tableSchema(), null, 2) + "\n";
}

interface FieldSchema {
  readonly type?: string;
  readonly const?: string;
  readonly enum?: readonly string[];
  readonly default?: unknown;
  readonly description?: string;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly maxItems?: number;
}

interface RowSchema {
  readonly properties: Readonly<Record<string, FieldSchema>>;
  readonly required: readonly string[];
}

/** Returns the fields of each kind as Markdown tables, for docs/TABLE.md. */
export function tableFieldsText(): string {
  const schema = tableSchema() as { items: { oneOf: readonly RowSchema[] } };
  return schema.items.oneOf.map(formatKind).join("\n");
}

function formatKind({ properties, required }: RowSchema): string {
  const lines = Object.entries(properties)
    .filter(([name]) => name !== "kind")
    .map(([name, field]) => {
      const ifLeftOut = required.includes(name)
        ? "required"
        : JSON.stringify(field.default) ?? "";
      const text = field.description ?? "";
      return `| ${name} | ${formatAllowed(field)} | ${ifLeftOut} | ${text} |`;
    });
  const head = "| field | allowed | if left out | meaning |\n| - | - | - | - |";
  return `### ${properties.kind.const}\n\n${head}\n${lines.join("\n")}\n`;
}

function formatAllowed(field: FieldSchema): string {
  if (field.enum) return field.enum.join(", ");
  const { type = "", minimum, maximum, maxItems } = field;
  if (maxItems !== undefined) return `${type}, at most ${maxItems}`;
  if (minimum === undefined) return type;
  const bounded = maximum !== undefined && maximum < Number.MAX_SAFE_INTEGER;
  return bounded
    ? `${type}, ${minimum} to ${maximum}`
    : `${type}, ${minimum} or more`;
}

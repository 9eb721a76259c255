/**
 * Generates the published JSON Schema of a settings file and the field descriptions of docs/SETTINGS.md from the same
 * definitions that check the settings.
 *
 * @module
 */

import { z } from "zod";
import { settingsSchema } from "./settings.ts";

interface Field {
  readonly type?: string;
  readonly properties?: Readonly<Record<string, Field>>;
  readonly required?: readonly string[];
  readonly default?: unknown;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly enum?: readonly string[];
  readonly items?: Field;
}

/** Returns the text of `settings.schema.json`. */
export function settingsSchemaText(): string {
  const schema = settingsSchema.meta({
    title: "ibisgapd settings",
    description: "See docs/SETTINGS.md.",
  });
  return JSON.stringify(z.toJSONSchema(schema, { io: "input" }), null, 2) +
    "\n";
}

/** Returns a line of docs/SETTINGS.md for each field, with the field's name, type, range and default. */
export function settingsLines(): string[] {
  return linesOf(z.toJSONSchema(settingsSchema, { io: "input" }) as Field, "");
}

function linesOf(field: Field, path: string): string[] {
  const lines: string[] = [];
  for (const [name, inner] of Object.entries(field.properties ?? {})) {
    const fieldPath = path ? `${path}.${name}` : name;
    if (inner.properties) lines.push(...linesOf(inner, fieldPath));
    else {lines.push(
        `\`${fieldPath}\`: ${allowedText(inner)}${
          defaultText(field, name, inner)
        }`,
      );}
  }
  return lines;
}

function allowedText(field: Field): string {
  if (field.enum) return field.enum.map((value) => `"${value}"`).join(", ");
  if (field.items) return `list of ${field.items.type ?? "values"}`;
  const { minimum, maximum } = field;
  const range = minimum === undefined ? "" : `, ${minimum} to ${maximum}`;
  return `${field.type ?? "value"}${range}`;
}

function defaultText(parent: Field, name: string, field: Field): string {
  if (parent.required?.includes(name)) return "; needed";
  return field.default === undefined
    ? ""
    : `; default ${JSON.stringify(field.default)}`;
}

/**
 * Formats the results of `ibisgap table` as text for people.
 *
 * @module
 */

/** The body of the answer to `GET /admin/table`. */
export interface RowsBody {
  readonly version: number;
  readonly rows: readonly {
    readonly key: string;
    readonly version: number;
    readonly row: unknown;
  }[];
}

/** The body of the answer to `POST /admin/table/edits`. */
export interface EditsBody {
  readonly version: number;
  readonly changed: boolean;
}

/** The body of the answer to `GET /admin/table/in-force`. */
export interface InForceBody {
  readonly version: number;
  readonly regions: readonly {
    readonly region: string;
    readonly view: "whole" | "part";
    readonly vms: readonly {
      readonly id: string;
      readonly state: string;
      readonly version: number;
    }[];
  }[];
}

interface ChangeBody {
  readonly type: "put" | "delete";
  readonly key?: string;
  readonly row?: Record<string, unknown>;
  readonly ifVersion?: number;
}

/** Formats rows, one per line, each with the version at which it was last changed. */
export function rowsText({ version, rows }: RowsBody): string {
  const lines = rows.map((it) =>
    `v${String(it.version).padEnd(6)} ${it.key}  ${JSON.stringify(it.row)}`
  );
  return [`version ${version}, ${rows.length} rows`, ...lines].join("\n");
}

/** Formats changes, with `+` for new, `~` for changed and `-` for deleted rows, and the version that they produced. */
export function changesText(body: unknown): string {
  const { changes, version } = body as {
    readonly changes: readonly ChangeBody[];
    readonly version?: number;
  };
  const lines = changes.map((change) => {
    if (change.type === "delete") return `- ${change.key}`;
    const sign = change.ifVersion === 0 ? "+" : "~";
    return `${sign} ${rowKey(change.row!)}  ${JSON.stringify(change.row)}`;
  });
  if (changes.length === 0) lines.push("no change");
  if (version !== undefined) lines.push(`version ${version}`);
  return lines.join("\n");
}

/** Formats edits, one per line. */
export function historyText(body: unknown): string {
  const { edits } = body as {
    readonly edits: readonly {
      readonly version: number;
      readonly author: string;
      readonly atMs: number;
      readonly changes: readonly ChangeBody[];
    }[];
  };
  return edits.map(({ version, author, atMs, changes }) => {
    const keys = changes.map((it) =>
      it.type === "delete" ? `-${it.key}` : rowKey(it.row!)
    );
    const shown = keys.slice(0, 5).join(" ");
    const more = keys.length > 5 ? ` and ${keys.length - 5} more` : "";
    const at = new Date(atMs).toISOString();
    return `v${version}  ${at}  ${author}  ${shown}${more}`;
  }).join("\n");
}

/** Lists why a version is not in force everywhere: VMs at a lower version, and regions that are known only in part. */
export function findMissing(
  { regions }: InForceBody,
  version: number,
  region: string | undefined,
): string[] {
  const missing: string[] = [];
  const wanted = regions.filter((it) => !region || it.region === region);
  if (region && wanted.length === 0) missing.push(`region ${region} unknown`);
  for (const it of wanted) {
    if (it.view === "part") missing.push(`region ${it.region} unreachable`);
    for (const vm of it.vms) {
      if (vm.version < version) missing.push(`${vm.id} at ${vm.version}`);
    }
  }
  return missing;
}

/** Formats where a version is in force, one line per region. */
export function inForceText(
  body: InForceBody,
  version: number,
  region: string | undefined,
): string {
  const lines = body.regions
    .filter((it) => !region || it.region === region)
    .map((it) => {
      const upToDateCount = it.vms.filter((vm) => vm.version >= version).length;
      const totalText = it.view === "whole"
        ? `${it.vms.length}`
        : "an unknown number";
      return `${it.region}: in force on ${upToDateCount} of ${totalText} VMs`;
    });
  const missing = findMissing(body, version, region);
  if (missing.length > 0) lines.push(`missing: ${missing.join(", ")}`);
  return lines.join("\n");
}

/** Formats the current rows that an edit conflicted with, for the operator whose edit lost the race. */
export function conflictsText(body: unknown): string {
  const { conflicts } = (body ?? {}) as {
    readonly conflicts?: readonly {
      readonly key: string;
      readonly current?: { readonly version: number; readonly row: unknown };
    }[];
  };
  return (conflicts ?? []).map(({ key, current }) =>
    current
      ? `\n  ${key} at v${current.version}: ${JSON.stringify(current.row)}`
      : `\n  ${key}: deleted`
  ).join("");
}

function rowKey(row: Record<string, unknown>): string {
  return row.kind === "traffic"
    ? `traffic/${row.service}/${row.region}`
    : `${row.kind}/${row.id}`;
}

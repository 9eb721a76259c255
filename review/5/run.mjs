// The machine that counts a tenant's use for its region is stopped as planned (SIGTERM), and started again after it ended.
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { runQuotaCase } from "../lib-2/quota_case.mjs";

const TROUBLE = process.env.TROUBLE !== "0";
/** The platform starts a process that has ended again "after a short delay". */
const RESTART_MS = 500;

await runQuotaCase(join(dirname(fileURLToPath(import.meta.url)), "record.txt"), (lab, lead) => {
  if (!TROUBLE) return;
  lab.signal(lead, "SIGTERM");
  lead.child.once("exit", (code) => {
    lab.note(`machine ${lead.id} ended with ${code}`);
    setTimeout(() => lab.startMachine(lead), RESTART_MS);
  });
});

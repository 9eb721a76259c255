import { describe, it } from "../base/describe.ts";
import { isNotSent } from "./not_sent.ts";

const unreachable = (syscall: string) =>
  Object.assign(new Error("EHOSTUNREACH"), { code: "EHOSTUNREACH", syscall });

describe("a failed request", () => {
  // The network fails after the call was sent. The error code is the same as before a connection, but it comes from
  // another system call. The caller must be told that the outcome is unknown: if it were told "not run", it could send
  // the call again and the call could run twice.
  const cases: [string, unknown, boolean][] = [
    ["no route to connect", unreachable("connect"), true],
    ["no route while reading the answer", unreachable("read"), false],
    ["no route while writing", unreachable("write"), false],
    ["a name that is not found", unreachable("getaddrinfo"), true],
    ["wrapped by a library", {
      code: "ECONNREFUSED",
      cause: unreachable("connect"),
    }, true],
    ["wrapped, while reading", {
      code: "EHOSTUNREACH",
      cause: unreachable("read"),
    }, false],
    ["all addresses refused", {
      errors: [unreachable("connect"), unreachable("connect")],
    }, true],
    [
      "reset while connecting",
      { code: "ECONNRESET", syscall: "connect" },
      false,
    ],
    ["no system call named", { code: "ECONNREFUSED" }, false],
    ["a connect timeout", { code: "UND_ERR_CONNECT_TIMEOUT" }, true],
    ["nothing known", undefined, false],
  ];
  for (const [name, error, expected] of cases) {
    it(`${expected ? "was not sent" : "may have run"}: ${name}`, (t) => {
      t.is(isNotSent(error), expected);
    });
  }
});

/** Frame of a script: the record, the limit of time, and the exit code. */

import { writeFileSync } from "node:fs";
import process from "node:process";
import { NotRunError } from "./hosts.mjs";

/** Longest time of a script, with its clean-up. */
const TIMEOUT_MS = 110_000;

/**
 * Runs a case and ends the process: 1 if `run` resolves with true (the rule was
 * broken), 0 if it held, 2 if the case could not run.
 */
export async function runCase({ directory, run }) {
  const isTrouble = process.env.TROUBLE !== "0";
  const startedAt = performance.now();
  const lines = [];
  const cleanUps = [];
  const record = (text) => {
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(3);
    lines.push(`${seconds} ${text}`);
  };
  const timeout = new Promise((_, reject) =>
    setTimeout(() => reject(new NotRunError("out of time")), TIMEOUT_MS)
  );
  let code = 2;
  try {
    record(`TROUBLE=${isTrouble ? 1 : 0}`);
    const isBroken = await Promise.race([
      run({ isTrouble, record, atEnd: (end) => cleanUps.push(end) }),
      timeout,
    ]);
    code = isBroken ? 1 : 0;
  } catch (err) {
    record(`not run: ${err.stack ?? err}`);
  }
  cleanUps.toReversed().forEach((end) => end());
  const verdict = ["held", "broken", "not run"][code];
  record(`verdict: ${verdict}`);
  writeFileSync(new URL("record.txt", directory), `${lines.join("\n")}\n`);
  console.log(verdict);
  process.exit(code);
}

/**
 * Runs only the tests that docs/PROOFS.md references and prints the status of
 * each. Fails if a referenced test does not exist or does not pass, except for
 * failures listed in KNOWN-RED.txt.
 */

import { execFileSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";

const PROOFS_FILE = "docs/PROOFS.md";
const KNOWN_RED_FILE = "KNOWN-RED.txt";
const TEST_LINE_PREFIX = "test: ";

/** Reference to a test by its file and full name. */
interface ReferencedTest {
  readonly file: string;
  readonly name: string;
}

/** Reads the references, which have the form `test/file.test.ts` › `name`. */
function readReferencedTests(): ReferencedTest[] {
  const text = readFileSync(PROOFS_FILE, "utf8").replaceAll(/\s+/g, " ");
  const matches = text.matchAll(/`(test\/\S+\.test\.ts)` › `([^`]+)`/g);
  const references = [...matches].map((m) => ({ file: m[1]!, name: m[2]! }));
  const byFullName = new Map(
    references.map((t) => [`${t.file} › ${t.name}`, t]),
  );
  return [...byFullName.values()];
}

interface VitestResults {
  readonly testResults: readonly {
    readonly name: string;
    readonly assertionResults: readonly {
      readonly fullName: string;
      readonly status: string;
    }[];
  }[];
}

/** Runs the referenced tests and returns the status of each by full name. */
function runTests(
  referencedTests: readonly ReferencedTest[],
): Map<string, string> {
  const output = join(mkdtempSync(join(tmpdir(), "proofs-")), "results.json");
  const files = [...new Set(referencedTests.map((test) => test.file))].filter(
    existsSync,
  );
  const pattern = referencedTests.map((test) => escapeRegExp(test.name)).join(
    "|",
  );
  try {
    execFileSync("npx", [
      "vitest",
      "run",
      "--reporter=json",
      `--outputFile=${output}`,
      `--testNamePattern=^(${pattern})$`,
      ...files,
    ], { stdio: ["ignore", "ignore", "ignore"] });
  } catch {
    // A failed test makes vitest exit with an error; see the results file.
  }
  const results = JSON.parse(readFileSync(output, "utf8")) as VitestResults;
  return new Map(results.testResults.flatMap((file) => {
    const path = file.name.slice(file.name.lastIndexOf("test/"));
    return file.assertionResults.map((test) =>
      [`${path} › ${test.fullName}`, test.status] as const
    );
  }));
}

function escapeRegExp(text: string): string {
  return text.replaceAll(/[.*+?^${}()|[\]\\]/g, "\\$&");
}

function readKnownFailures(): Set<string> {
  const lines = existsSync(KNOWN_RED_FILE)
    ? readFileSync(KNOWN_RED_FILE, "utf8").split("\n")
    : [];
  return new Set(
    lines.filter((line) => line.startsWith(TEST_LINE_PREFIX))
      .map((line) => line.slice(TEST_LINE_PREFIX.length).trim()),
  );
}

function main(): void {
  const referencedTests = readReferencedTests();
  const statuses = runTests(referencedTests);
  const knownFailures = readKnownFailures();
  let failed = referencedTests.length === 0 ? 1 : 0;
  for (const { file, name } of referencedTests) {
    const status = statuses.get(`${file} › ${name}`) ?? "missing";
    const isKnownFailure = status === "failed" && knownFailures.has(name);
    failed += status === "passed" || isKnownFailure ? 0 : 1;
    const label = isKnownFailure ? "known red" : status;
    console.log(`${label.padEnd(9)} ${file} › ${name}`);
  }
  console.log(`${referencedTests.length} named, ${failed} not passed`);
  process.exitCode = failed > 0 ? 1 : 0;
}

main();

/**
 * Evaluates the results of the test runner: tolerates only the failures that
 * KNOWN-RED.txt lists, prints all failures, and ends with the counts. The exit
 * code is 1 for any other failure or if no test passed.
 */

import { existsSync, readFileSync } from "node:fs";
import process from "node:process";

const RESULTS_FILE = "test-results.json";
const KNOWN_RED_FILE = "KNOWN-RED.txt";
const TEST_LINE_PREFIX = "test: ";

interface TestResult {
  readonly fullName: string;
  readonly status: "passed" | "failed" | "skipped" | "pending" | "todo";
}

interface FileResult {
  readonly name: string;
  readonly status: "passed" | "failed";
  readonly assertionResults: readonly TestResult[];
}

interface VitestResults {
  readonly testResults: readonly FileResult[];
}

/** Reads the full names of the tests that KNOWN-RED.txt lists. */
function readKnownFailures(): Set<string> {
  if (!existsSync(KNOWN_RED_FILE)) {
    return new Set();
  }
  const lines = readFileSync(KNOWN_RED_FILE, "utf8").split("\n");
  return new Set(
    lines
      .filter((line) => line.startsWith(TEST_LINE_PREFIX))
      .map((line) => line.slice(TEST_LINE_PREFIX.length).trim()),
  );
}

/** Returns the exit code of the test runner from the command line. */
function getRunnerExitCode(): number {
  return Number(process.argv[2] ?? 0);
}

function main(): void {
  const results = JSON.parse(
    readFileSync(RESULTS_FILE, "utf8"),
  ) as VitestResults;
  const knownFailures = readKnownFailures();
  const tests = results.testResults.flatMap((file) => file.assertionResults);
  const failed = tests.filter((test) => test.status === "failed");
  const unexpected = failed.filter((test) => !knownFailures.has(test.fullName));
  // A file that failed without a failed test could not be loaded.
  const unloadedFiles = results.testResults.filter((file) =>
    file.status === "failed" &&
    !file.assertionResults.some((test) => test.status === "failed")
  );
  failed
    .filter((test) => knownFailures.has(test.fullName))
    .forEach((test) => console.log(`known red: ${test.fullName}`));
  unexpected.forEach((test) => console.log(`failed: ${test.fullName}`));
  unloadedFiles.forEach((file) => console.log(`not loaded: ${file.name}`));
  const passed = tests.filter((test) => test.status === "passed").length;
  // Without a failed test or file, the runner failed outside of the tests.
  const hasErrorOutsideTests = getRunnerExitCode() !== 0 &&
    failed.length === 0 &&
    unloadedFiles.length === 0;
  if (hasErrorOutsideTests) {
    console.log(
      `failed: the test runner exited with code ${getRunnerExitCode()}`,
    );
  }
  const failureCount = unexpected.length + unloadedFiles.length +
    (hasErrorOutsideTests ? 1 : 0);
  console.log(`${passed} passed, ${failureCount} failed`);
  process.exitCode = failureCount > 0 || passed === 0 ? 1 : 0;
}

main();

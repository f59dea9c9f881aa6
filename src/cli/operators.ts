/** Requests to the operators' ports of hosts. */

import process from "node:process";
import { Err, Ok, type Result } from "ts-results-es";
import { loadSettings } from "../host/settings.ts";
import type { HostStatus } from "../host/status.ts";

const REQUEST_TIMEOUT_MS = 3_000;
const OPERATORS_VARIABLE = "TURMERICCHUTE_OPERATORS";

/** Options that name the operators' ports. */
export interface OperatorsOptions {
  readonly url?: string | readonly string[];
  readonly settings?: string | readonly string[];
}

/**
 * Returns the URLs of the operators' ports that the options name, or otherwise
 * those in the environment; empty if there are none.
 */
export function findOperators(options: OperatorsOptions): readonly string[] {
  const urls = toList(options.url);
  const files = toList(options.settings);
  if (urls.length > 0 || files.length > 0) {
    return [...urls, ...files.flatMap(readOperatorsUrl)];
  }
  return (process.env[OPERATORS_VARIABLE] ?? "").split(/[\s,]+/)
    .filter((url) => url !== "");
}

/** Requests the status of a host; the error describes the failure. */
export async function fetchStatus(
  url: string,
): Promise<Result<HostStatus, string>> {
  try {
    const res = await fetch(new URL("/status", url), {
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    return res.ok
      ? Ok(await res.json() as HostStatus)
      : Err(`status ${res.status}`);
  } catch (err) {
    return Err(describeFetchError(err));
  }
}

/** Requests that a host finish its running requests and stop. */
export async function postDrain(url: string): Promise<Result<void, string>> {
  try {
    const res = await fetch(new URL("/drain", url), {
      method: "POST",
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    return res.ok ? Ok(undefined) : Err(`status ${res.status}`);
  } catch (err) {
    return Err(describeFetchError(err));
  }
}

function describeFetchError(err: unknown): string {
  const cause = err instanceof Error ? err.cause ?? err : err;
  return cause instanceof Error ? cause.message : `${cause}`;
}

function readOperatorsUrl(file: string): string[] {
  const settings = loadSettings(file);
  const operators = settings.isOk() ? settings.value.operators : undefined;
  return operators ? [`http://${operators.address}:${operators.port}`] : [];
}

function toList(value: string | readonly string[] | undefined): string[] {
  return value === undefined ? [] : [value].flat();
}

/** Loads the settings of a pool host. */

import { Err, Ok, type Result } from "ts-results-es";
import { describeErrors, type FileProblem } from "../core/file_problems.ts";
import type { PoolHostSettings } from "../generated/pool_host.ts";
import { validatePoolHostSettings } from "../generated/pool_host_validate.ts";
import { readYaml } from "./settings.ts";

/** Reads and validates the settings; returns all problems found. */
export function loadPoolHostSettings(
  file: string,
): Result<PoolHostSettings, readonly FileProblem[]> {
  return readYaml(file).andThen((value) =>
    validatePoolHostSettings(value)
      ? Ok(value)
      : Err(describeErrors(validatePoolHostSettings.errors ?? []))
  );
}

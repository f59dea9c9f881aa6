/** Runs a host; the arguments are the policy and the settings file. */

import { readFileSync } from "node:fs";
import process from "node:process";
import { parse } from "yaml";
import { runHost } from "../../src/daemon/run_host.ts";
import { validateSettings } from "../../src/generated/settings_validate.ts";
import { getPolicy } from "./policies.ts";

const [policyName = "", settingsFile = ""] = process.argv.slice(2);
const settings: unknown = parse(readFileSync(settingsFile, "utf8"));
if (!validateSettings(settings)) {
  throw new Error(`${settingsFile}: settings do not match the schema`);
}
const policy = getPolicy(policyName);
await runHost({ ...settings, ...policy.settings }, policy.create(settings));
console.log(`${settings.host} ready`);

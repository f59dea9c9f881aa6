/** Logs and counts state changes. */

import debug from "debug";
import type { HostIo, MetricsSink, StateChange } from "../core/types.ts";

/** Prefix of the `debug` namespace of each component. */
const DEBUG_NAMESPACE = "turmericchute";
/** Matches the API key of a caller anywhere in a field. */
const KEY_PATTERN = /tck_[0-9a-f]+_[0-9a-f]+/g;
const REDACTED = "[key]";

/** Creates a log with one `debug` namespace per component. */
export function createLog(metrics: MetricsSink): HostIo["log"] {
  return (change) => {
    const { component, event } = change;
    metrics.count("state_changes_total", { component, event });
    debug(`${DEBUG_NAMESPACE}:${component}`)(
      "%s %o",
      event,
      redact(change.fields),
    );
  };
}

/** Replaces API keys in the fields of a log line. */
export function redact(fields: StateChange["fields"]): StateChange["fields"] {
  return Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [
      name,
      typeof value === "string"
        ? value.replaceAll(KEY_PATTERN, REDACTED)
        : value,
    ]),
  );
}

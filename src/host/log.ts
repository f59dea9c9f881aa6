/** Writes changes of state to the log and counts them. */

import debug from "debug";
import type { HostIo, MetricsSink, StateChange } from "../core/types.ts";

/** Begins the `debug` namespace of every component. */
const DEBUG_NAMESPACE = "turmericchute";
/** Keys of callers, wherever one could come into a field. */
const KEY_PATTERN = /tck_[0-9a-f]+_[0-9a-f]+/g;
const REDACTED = "[key]";

/** Creates a log with one `debug` namespace for each component. */
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

/** Takes the keys of callers out of the fields of a line. */
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

/** Finds the log lines that explain the outcome of a request. */

/** Time before and after a request in which state changes are included. */
const CONTEXT_WINDOW_MS = 3_000;

/** One structured line of a host's log. */
export interface LogLine {
  /** Wall-clock time in Unix milliseconds. */
  readonly time: number;
  readonly host: string;
  readonly msg: string;
  /** Request id, on lines about a request. */
  readonly id?: string;
  readonly service?: string;
  readonly [field: string]: unknown;
}

/** Parses log lines; text before the JSON object of a line is skipped. */
export function parseLogLines(text: string): LogLine[] {
  return text.split("\n").flatMap((line) => {
    const start = line.indexOf("{");
    const parsed = start < 0 ? undefined : tryParse(line.slice(start));
    return parsed ? [parsed] : [];
  });
}

function tryParse(text: string): LogLine | undefined {
  try {
    const line = JSON.parse(text) as Partial<LogLine>;
    return typeof line.time === "number" && typeof line.msg === "string"
      ? line as LogLine
      : undefined;
  } catch {
    // Other programs can write to the same output.
    return undefined;
  }
}

/**
 * Returns the lines about a request, ordered by time, together with the state
 * changes logged around it: those of its service, and those of its hosts that
 * belong to no service, such as changes of the configuration or the store.
 */
export function listRelatedLines(
  lines: readonly LogLine[],
  id: string,
): readonly LogLine[] {
  const requestLines = lines.filter((line) => line.id === id);
  if (requestLines.length === 0) {
    return [];
  }
  const services = new Set(requestLines.map(({ service }) => service));
  const hosts = new Set(requestLines.map(({ host }) => host));
  const times = requestLines.map(({ time }) => time);
  const from = Math.min(...times) - CONTEXT_WINDOW_MS;
  const to = Math.max(...times) + CONTEXT_WINDOW_MS;
  return lines.filter((line) => {
    if (line.id !== undefined) {
      return line.id === id;
    }
    const isInWindow = line.time >= from && line.time <= to;
    const isRelated = line.service === undefined
      ? hosts.has(line.host)
      : services.has(line.service);
    return isInWindow && isRelated;
  }).toSorted((a, b) => a.time - b.time);
}

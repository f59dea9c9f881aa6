/** Finds the log lines that tell what became of a request. */

/** Time around a request in which changes of belief matter, in milliseconds. */
const CONTEXT_WINDOW_MS = 3_000;

/** One structured line of a host's log. */
export interface LogLine {
  /** Time of day in Unix milliseconds. */
  readonly time: number;
  readonly host: string;
  readonly msg: string;
  /** The request, on lines about one. */
  readonly id?: string;
  readonly service?: string;
  readonly [field: string]: unknown;
}

/** Reads the lines of a log; text before the JSON object is left out. */
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
    // Other programs may write to the same output.
    return undefined;
  }
}

/**
 * The lines about the request in order of time, with what the hosts came to
 * believe about its service, their configuration and the store meanwhile.
 */
export function explain(
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

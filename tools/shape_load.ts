/** Generates random loads and adapts traces to a rate or session count. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { mersenne } from "pure-rand/generator/mersenne";
import type { ServiceId, WorkspaceId } from "../src/core/ids.ts";
import type { TraceLine } from "../src/generated/trace.ts";

const MS_PER_SECOND = 1_000;
const KEYS_PER_SESSION = 5;
const MAX_VALUE = 1_000;
const PERCENT = 100;
const WRITE_PERCENT = 30;

/** Options of a generated load; one session per workspace. */
export interface GeneratedLoadOptions {
  readonly service: ServiceId;
  readonly workspaces: readonly WorkspaceId[];
  readonly ratePerSecond: number;
  readonly seconds: number;
  readonly seed: number;
}

/** Generates puts (30 %) and gets at random times, sorted by time. */
export function generateLoad(options: GeneratedLoadOptions): TraceLine[] {
  const generator = mersenne(options.seed);
  const draw = (below: number) => uniformInt(generator, 0, below - 1);
  const count = Math.round(options.ratePerSecond * options.seconds);
  const lines = Array.from({ length: count }, (): TraceLine => {
    const workspace = options.workspaces[draw(options.workspaces.length)]!;
    const key = `load-${draw(KEYS_PER_SESSION)}`;
    const isWrite = draw(PERCENT) < WRITE_PERCENT;
    const common = {
      atMs: draw(Math.ceil(options.seconds * MS_PER_SECOND)),
      workspace,
      session: workspace,
      service: options.service,
    };
    return isWrite
      ? {
        ...common,
        class: "load_write",
        access: "write",
        body: { op: "put", key, value: draw(MAX_VALUE) },
      }
      : {
        ...common,
        class: "load_read",
        access: "read",
        body: { op: "get", key },
      };
  });
  return lines.sort((a, b) => a.atMs - b.atMs);
}

/** Scales the times of a trace to the given mean rate. */
export function scaleToRate(
  trace: readonly TraceLine[],
  ratePerSecond: number,
): TraceLine[] {
  const endMs = trace.at(-1)?.atMs ?? 0;
  const scaledEndMs = trace.length / ratePerSecond * MS_PER_SECOND;
  const factor = endMs > 0 ? scaledEndMs / endMs : 1;
  return trace.map((line) => ({ ...line, atMs: line.atMs * factor }));
}

/** Distributes the requests of each workspace round-robin to sessions. */
export function assignSessions(
  trace: readonly TraceLine[],
  sessions: number,
): TraceLine[] {
  const counts = new Map<WorkspaceId, number>();
  return trace.map((line) => {
    const count = counts.get(line.workspace) ?? 0;
    counts.set(line.workspace, count + 1);
    return { ...line, session: `${line.workspace}-${count % sessions}` };
  });
}

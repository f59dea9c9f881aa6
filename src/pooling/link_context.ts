/**
 * Session state on a pooled connection: values and prepared statements that
 * must match those of the session before a statement of it may run.
 */

import type { Prepared, TargetCommand } from "./types.ts";

/** Values of a session by name. */
export type SessionValues = ReadonlyMap<string, string>;

/** What the connection holds now. */
export interface LinkContext {
  readonly values: Map<string, string>;
  /** Names on this connection by what was prepared under them. */
  readonly names: Map<string, string>;
}

/** What a statement needs of the connection. */
export interface ContextNeed {
  readonly values: SessionValues;
  /** Set for the execution of a prepared statement. */
  readonly prepared?: Prepared | undefined;
}

/** Creates the context of a new connection. */
export function createLinkContext(): LinkContext {
  return { values: new Map(), names: new Map() };
}

/** Whether values must be dropped that the session does not have. */
function needsReset(context: LinkContext, values: SessionValues): boolean {
  for (const name of context.values.keys()) {
    if (!values.has(name)) {
      return true;
    }
  }
  return false;
}

/** Number of commands that `applyContext` would send. */
export function countCommands(context: LinkContext, need: ContextNeed): number {
  const isReset = needsReset(context, need.values);
  let count = isReset ? 1 : 0;
  for (const [name, value] of need.values) {
    count += isReset || context.values.get(name) !== value ? 1 : 0;
  }
  const { prepared } = need;
  const isPrepared = !prepared ||
    (!isReset && context.names.has(getPreparedKey(prepared)));
  return count + (isPrepared ? 0 : 1);
}

/**
 * Makes the context what the session needs and lists the commands that bring
 * the connection there. When one of them fails the connection is unusable.
 */
export function applyContext(
  context: LinkContext,
  need: ContextNeed,
): TargetCommand[] {
  const commands: TargetCommand[] = [];
  if (needsReset(context, need.values)) {
    context.values.clear();
    context.names.clear();
    commands.push({ kind: "reset" });
  }
  for (const [name, value] of need.values) {
    if (context.values.get(name) !== value) {
      context.values.set(name, value);
      commands.push({ kind: "set", name, value });
    }
  }
  const { prepared } = need;
  if (prepared && !context.names.has(getPreparedKey(prepared))) {
    const name = `p${context.names.size + 1}`;
    context.names.set(getPreparedKey(prepared), name);
    commands.push({ kind: "prepare", name, prepared });
  }
  return commands;
}

/** Name of a statement that `applyContext` prepared. */
export function getPreparedName(
  context: LinkContext,
  prepared: Prepared,
): string {
  const name = context.names.get(getPreparedKey(prepared));
  if (name === undefined) {
    throw new Error(`not prepared on this connection: ${prepared.shape}`);
  }
  return name;
}

function getPreparedKey({ access, shape }: Prepared): string {
  return `${access} ${shape}`;
}

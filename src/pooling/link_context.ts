/**
 * Session state on a pooled connection: values and prepared statements that
 * must match those of the session before a statement of it may run.
 */

import type { PreparedStatement, TargetCommand } from "./types.ts";

/** Values of a session by name. */
export type SessionVariables = ReadonlyMap<string, string>;

/** What the connection holds now. */
export interface LinkContext {
  readonly variables: Map<string, string>;
  /** Names on this connection by what was prepared under them. */
  readonly preparedNames: Map<string, string>;
}

/** What a statement needs of the connection. */
export interface RequiredContext {
  readonly variables: SessionVariables;
  /** Set for the execution of a prepared statement. */
  readonly prepared?: PreparedStatement | undefined;
}

/** Creates the context of a new connection. */
export function createLinkContext(): LinkContext {
  return { variables: new Map(), preparedNames: new Map() };
}

/** Whether values must be dropped that the session does not have. */
function needsReset(
  context: LinkContext,
  variables: SessionVariables,
): boolean {
  for (const name of context.variables.keys()) {
    if (!variables.has(name)) {
      return true;
    }
  }
  return false;
}

/** Number of commands that `applyContext` would send. */
export function countCommands(
  context: LinkContext,
  required: RequiredContext,
): number {
  const isReset = needsReset(context, required.variables);
  let count = isReset ? 1 : 0;
  for (const [name, value] of required.variables) {
    count += isReset || context.variables.get(name) !== value ? 1 : 0;
  }
  const { prepared } = required;
  const isPrepared = !prepared ||
    (!isReset && context.preparedNames.has(getPreparedKey(prepared)));
  return count + (isPrepared ? 0 : 1);
}

/**
 * Makes the context what the session needs and lists the commands that bring
 * the connection there. When one of them fails the connection is unusable.
 */
export function applyContext(
  context: LinkContext,
  required: RequiredContext,
): TargetCommand[] {
  const commands: TargetCommand[] = [];
  if (needsReset(context, required.variables)) {
    context.variables.clear();
    context.preparedNames.clear();
    commands.push({ kind: "reset" });
  }
  for (const [name, value] of required.variables) {
    if (context.variables.get(name) !== value) {
      context.variables.set(name, value);
      commands.push({ kind: "set", name, value });
    }
  }
  const { prepared } = required;
  if (prepared && !context.preparedNames.has(getPreparedKey(prepared))) {
    const name = `p${context.preparedNames.size + 1}`;
    context.preparedNames.set(getPreparedKey(prepared), name);
    commands.push({ kind: "prepare", name, prepared });
  }
  return commands;
}

/** Name of a statement that `applyContext` prepared. */
export function getPreparedName(
  context: LinkContext,
  prepared: PreparedStatement,
): string {
  const name = context.preparedNames.get(getPreparedKey(prepared));
  if (name === undefined) {
    throw new Error(`not prepared on this connection: ${prepared.shape}`);
  }
  return name;
}

function getPreparedKey({ access, shape }: PreparedStatement): string {
  return `${access} ${shape}`;
}

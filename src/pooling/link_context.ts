/**
 * Session state on a pooled connection: the variables and prepared statements
 * there must match the session's before one of its statements may run.
 */

import type { PreparedStatement, TargetCommand } from "./types.ts";

/** Variables that a session has set, by name. */
export type SessionVariables = ReadonlyMap<string, string>;

/** Session state that a connection holds. */
export interface LinkContext {
  readonly variables: Map<string, string>;
  /**
   * Names of the statements prepared on this connection, by access and shape.
   */
  readonly preparedNames: Map<string, string>;
}

/** Session state that a statement requires on its connection. */
export interface RequiredContext {
  readonly variables: SessionVariables;
  /** Prepared statement to be executed, if any. */
  readonly prepared?: PreparedStatement | undefined;
}

/** Creates the context of a new connection, which is empty. */
export function createLinkContext(): LinkContext {
  return { variables: new Map(), preparedNames: new Map() };
}

/** Whether the connection holds variables that the session has not set. */
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

/** Returns the number of commands that `applyContext` would return. */
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
 * Updates the context to the required state and returns the commands that bring
 * the connection to it. If one of them fails, the context no longer matches the
 * connection, which must then be closed.
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

/** Returns the name of a statement prepared by `applyContext`. */
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

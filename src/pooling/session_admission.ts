/**
 * Decides by the configuration in force what a session may do: nothing that
 * depends on its key or route is kept beyond an operation, see
 * docs/design/session_decisions.md.
 */

import { Err, Ok, type Result } from "ts-results-es";
import type { DatabaseName, WorkspaceId } from "../core/ids.ts";
import type { CatalogHolder } from "./catalog.ts";
import { POOL_ERRORS, type PoolFailure } from "./errors.ts";
import type { Route } from "./types.ts";

/** Workspace reported to targets for clients of public routes without a key. */
const PUBLIC_WORKSPACE = "public" as WorkspaceId;

/** Parameters with which a client opens a session. */
export interface SessionOptions {
  readonly database: DatabaseName;
  readonly key: string;
}

/** What a configuration says of a session. */
export interface Admission {
  readonly route: Route;
  readonly workspace: WorkspaceId;
}

/** Admission of one session. */
export interface SessionAdmission {
  /** Admission of the last operation that was let in. */
  readonly current: Admission;
  /**
   * Lets an operation in, a single statement or a whole transaction, by the
   * configuration in force; returns why not if it is refused.
   */
  renew(): PoolFailure | undefined;
  /** Returns why the configuration in force would refuse the session. */
  tryRefusal(): PoolFailure | undefined;
  /**
   * Returns why the open transaction must not go on. It keeps the route that it
   * began with, but runs for no workspace other than that of the key.
   */
  tryAbortReason(): string | undefined;
}

/** Creates the admission of a session, or returns why it is refused. */
export function createSessionAdmission(
  catalog: Pick<CatalogHolder, "tryGetConfirmed">,
  options: SessionOptions,
): Result<SessionAdmission, PoolFailure> {
  return tryAdmit(catalog, options).map((first) => {
    let current = first;
    return {
      get current() {
        return current;
      },
      renew() {
        const admitted = tryAdmit(catalog, options);
        if (admitted.isErr()) {
          return admitted.error;
        }
        current = admitted.value;
        return undefined;
      },
      tryRefusal() {
        const admitted = tryAdmit(catalog, options);
        return admitted.isErr() ? admitted.error : undefined;
      },
      tryAbortReason() {
        const admitted = tryAdmit(catalog, options);
        if (admitted.isErr()) {
          return POOL_ERRORS[admitted.error.error].message;
        }
        return admitted.value.workspace === current.workspace
          ? undefined
          : "the key belongs to another workspace now";
      },
    };
  });
}

/** Looks up the route and the workspace in the configuration in force. */
function tryAdmit(
  catalog: Pick<CatalogHolder, "tryGetConfirmed">,
  { database, key }: SessionOptions,
): Result<Admission, PoolFailure> {
  const confirmed = catalog.tryGetConfirmed();
  if (!confirmed) {
    return Err({ error: "not_ready" });
  }
  const route = confirmed.routes.get(database);
  if (!route) {
    return Err({ error: "unknown_database" });
  }
  const workspace = confirmed.workspaceByKey.get(key);
  if (workspace) {
    return Ok({ route, workspace });
  }
  return route.isPublic
    ? Ok({ route, workspace: PUBLIC_WORKSPACE })
    : Err({ error: "unauthenticated" });
}

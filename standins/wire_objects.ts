/** Encodes what the operator and the targets write to the platform's store. */

import type {
  Catalog,
  Consistency,
  TargetRecord,
} from "../src/pooling/types.ts";

const MS_PER_SECOND = 1_000;

/** Type of a route for each kind of consistency. */
const ROUTE_TYPES: Readonly<Record<Consistency["kind"], string>> = {
  primary: "primary",
  bounded: "bounded_staleness",
  session: "read_your_writes",
};

/** Encodes a configuration; the inverse of `tryDecodeCatalog`. */
export function encodeCatalog(catalog: Catalog): unknown {
  return {
    version: catalog.version,
    routes: [...catalog.routes.values()].map((route) => ({
      // The platform's field `host` holds the name of the database.
      host: route.database,
      service: route.service,
      type: ROUTE_TYPES[route.consistency.kind],
      ...(route.consistency.kind === "primary"
        ? {}
        : { maxStaleMs: route.consistency.maxStaleMs }),
      timeoutMs: route.statementTimeoutMs,
      sloMs: route.objectiveMs,
      prio: route.priority,
      public: route.isPublic,
      ...(route.homeRegions ? { homeRegions: route.homeRegions } : {}),
    })),
    services: [...catalog.services.values()].map((policy) => ({
      name: policy.service,
      maxConns: policy.maxConnections,
      syncReplicas: policy.syncReplicas,
      ...(policy.cold
        ? {
          coldS: policy.cold.durationMs / MS_PER_SECOND,
          coldPerS: policy.cold.ratePerS,
        }
        : {}),
    })),
    limits: { txIdleMs: catalog.transactionIdleMs },
    tenants: [...catalog.quotas].map(([workspace, { ratePerS, burst }]) => ({
      name: workspace,
      apiKeys: [...catalog.workspaceByKey]
        .filter(([, owner]) => owner === workspace)
        .map(([key]) => key),
      ratePerS,
      burst,
      ...(catalog.homesByWorkspace?.has(workspace)
        ? { homeRegions: catalog.homesByWorkspace.get(workspace) }
        : {}),
    })),
  };
}

/** Encodes a target's registration; the inverse of `tryDecodeTarget`. */
export function encodeTarget(target: TargetRecord): unknown {
  return {
    service: target.service,
    addr: target.address,
    zone: target.domain,
    slots: target.slots,
    state: target.isDraining ? "draining" : "ready",
    dbRole: target.role,
    born: target.incarnation,
    ...(target.coldLeftMs === undefined
      ? {}
      : { coldLeftMs: target.coldLeftMs }),
  };
}

/** Configuration in force on this host; its version only increases. */

import type { StoredObject } from "../core/types.ts";
import type { Catalog, PoolIo } from "./types.ts";

/** Holder of the current catalog. */
export interface CatalogHolder {
  /** Returns the catalog; undefined until a first configuration was applied. */
  tryGet(): Catalog | undefined;
  /** As `tryGet`; undefined also while peers may have a newer one in force. */
  tryGetConfirmed(): Catalog | undefined;
  /** Applies a stored configuration, unless it is invalid or not newer. */
  update(object: StoredObject): void;
  onChange(listener: (catalog: Catalog) => void): void;
}

/** Creates a holder without a catalog. */
export function createCatalogHolder(
  io: Pick<PoolIo, "log" | "metrics">,
  options: {
    tryDecode(value: unknown): Catalog | undefined;
    /** Whether no peer is known to have a newer version in force. */
    isConfirmed(version: number): boolean;
  },
): CatalogHolder {
  const listeners = new Set<(catalog: Catalog) => void>();
  let current: Catalog | undefined;
  return {
    tryGet: () => current,
    tryGetConfirmed: () =>
      current && options.isConfirmed(current.version) ? current : undefined,
    update(object) {
      const decoded = options.tryDecode(object.value);
      if (!decoded) {
        io.log.info("configuration_invalid", { revision: object.version });
        io.metrics.count("state_changes_total", {
          component: "catalog",
          event: "invalid",
        });
        return;
      }
      if (current && decoded.version <= current.version) {
        return;
      }
      io.log.info("configuration_applied", {
        version: decoded.version,
        previous: current?.version,
        revision: object.version,
        routes: decoded.routes.size,
        keys: decoded.workspaceByKey.size,
      });
      current = decoded;
      listeners.forEach((listener) => listener(decoded));
    },
    onChange: (listener) => void listeners.add(listener),
  };
}

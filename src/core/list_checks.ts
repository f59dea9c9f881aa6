/** Validates lists against the schema and against each other. */

import type { ErrorObject } from "ajv";
import type {
  GroupsList,
  PlansList,
  ServicesList,
} from "../generated/objects.ts";
import { validatePlatformObject } from "../generated/objects_validate.ts";

/** The lists that operators edit. */
export interface Lists {
  readonly plans: PlansList;
  readonly services: ServicesList;
  readonly groups: GroupsList;
}

/** Name of a list. */
export type ListName = keyof Lists;

/** Names of all lists. */
export const LIST_NAMES: readonly ListName[] = ["plans", "services", "groups"];

/** A validation problem in a list. */
export interface ListProblem {
  /** Location in the lists, such as `services.plans[0].burst`. */
  readonly path: string;
  readonly found: unknown;
  readonly allowed: string;
}

/**
 * Returns all validation problems of the lists. References between lists are
 * only checked once each list matches the schema.
 */
export function validateLists(
  lists: {
    readonly [name in ListName]?: unknown;
  },
): readonly ListProblem[] {
  const presentNames = LIST_NAMES.filter((name) => lists[name] !== undefined);
  const problems = presentNames.flatMap((name) =>
    checkSchema(name, lists[name])
  );
  return problems.length > 0 ? problems : checkAcrossLists(lists as Lists);
}

function checkSchema(name: ListName, value: unknown): ListProblem[] {
  const kind = typeof value === "object" && value && "kind" in value
    ? value.kind
    : undefined;
  if (kind !== name) {
    return [{ path: `${name}.kind`, found: kind, allowed: name }];
  }
  if (validatePlatformObject(value)) {
    return [];
  }
  return (validatePlatformObject.errors ?? [])
    .filter((err) => err.keyword !== "discriminator")
    .map((err) => toProblem(name, err));
}

function toProblem(name: ListName, err: ErrorObject): ListProblem {
  const path = name + err.instancePath
    .replace(/\/(\d+)/g, "[$1]")
    .replaceAll("/", ".");
  const { missingProperty, additionalProperty } = err.params;
  if (missingProperty) {
    return {
      path: `${path}.${missingProperty}`,
      found: undefined,
      allowed: "a value is required",
    };
  }
  if (additionalProperty) {
    const known = Object.keys(err.parentSchema?.["properties"] ?? {});
    return {
      path: `${path}.${additionalProperty}`,
      found: additionalProperty,
      allowed: known.join(", "),
    };
  }
  return { path, found: err.data, allowed: err.message ?? err.keyword };
}

function checkAcrossLists(lists: Partial<Lists>): ListProblem[] {
  const { plans, services, groups } = lists;
  return [
    ...(plans ? checkPlans(plans, services) : []),
    ...(services ? checkServices(services, groups) : []),
    ...(groups ? checkGroups(groups) : []),
  ];
}

function checkPlans(plans: PlansList, services?: ServicesList): ListProblem[] {
  const names = plans.workspaces.map((entry) => entry.workspace);
  const assignedPlans = plans.workspaces.map((entry) => entry.plan);
  const entryPath = (i: number) => `plans.workspaces[${i}]`;
  return [
    ...findDuplicates(names, (i) => `${entryPath(i)}.workspace`),
    ...(services
      ? findUnknown(assignedPlans, {
        known: services.plans.map((plan) => plan.plan),
        path: (i) => `${entryPath(i)}.plan`,
      })
      : []),
  ];
}

function checkServices(
  services: ServicesList,
  groups?: GroupsList,
): ListProblem[] {
  const names = services.plans.map((plan) => plan.plan);
  const known = groups?.groups.map((group) => group.service);
  const serviceProblems = services.plans.flatMap((plan, i) => {
    const serviceNames = plan.services.map((service) => service.service);
    const path = (j: number) => `services.plans[${i}].services[${j}].service`;
    const duplicateClasses = plan.services.flatMap((service, j) =>
      findDuplicates(
        (service.staleReads ?? []).map((rule) => rule.class),
        (k) => `services.plans[${i}].services[${j}].staleReads[${k}].class`,
      )
    );
    return [
      ...findDuplicates(serviceNames, path),
      ...(known ? findUnknown(serviceNames, { known, path }) : []),
      ...duplicateClasses,
    ];
  });
  return [
    ...findDuplicates(names, (i) => `services.plans[${i}].plan`),
    ...serviceProblems,
  ];
}

function checkGroups(groups: GroupsList): ListProblem[] {
  const names = groups.groups.map((group) => group.group);
  const targets = groups.groups.flatMap((group, i) =>
    group.targets.map((target, j) => ({
      target: target.target,
      path: `groups.groups[${i}].targets[${j}].target`,
    }))
  );
  const emptyGroups = groups.groups.flatMap((group, i) =>
    group.targets.length > 0 ? [] : [{
      path: `groups.groups[${i}].targets`,
      found: [],
      allowed: "at least one target",
    }]
  );
  return [
    ...findDuplicates(names, (i) => `groups.groups[${i}].group`),
    ...findDuplicates(
      targets.map((entry) => entry.target),
      (i) => targets[i]!.path,
    ),
    ...emptyGroups,
  ];
}

function findDuplicates(
  names: readonly string[],
  path: (index: number) => string,
): ListProblem[] {
  return names.flatMap((name, i) =>
    names.indexOf(name) === i ? [] : [{
      path: path(i),
      found: name,
      allowed: "a unique name",
    }]
  );
}

function findUnknown(
  names: readonly string[],
  options: {
    readonly known: readonly string[];
    readonly path: (index: number) => string;
  },
): ListProblem[] {
  const known = new Set(options.known);
  return names.flatMap((name, i) =>
    known.has(name) ? [] : [{
      path: options.path(i),
      found: name,
      allowed: [...known].join(", "),
    }]
  );
}

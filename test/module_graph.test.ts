import { readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative, resolve } from "node:path";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";

const ROOT = fileURLToPath(new URL("..", import.meta.url));
const FOLDERS = ["src", "platform", "standins", "tools", "examples", "test"];

/** The module names of `import … from`, `export … from` and `import(…)`. */
const IMPORT_FORMS = [
  /^(?:import|export)\b[^"'=;]*?\bfrom\s*["']([^"']+)["']/gm,
  /\bimport\s*\(?\s*["']([^"']+)["']/g,
];

type ModuleGraph = ReadonlyMap<string, readonly string[]>;

function readImports(text: string): readonly string[] {
  return IMPORT_FORMS.flatMap((form) =>
    [...text.matchAll(form)].map((match) => match[1] ?? "")
  );
}

function readGraph(): ModuleGraph {
  const files = FOLDERS.flatMap((folder) =>
    readdirSync(join(ROOT, folder), { recursive: true, encoding: "utf8" })
      .filter((name) => name.endsWith(".ts"))
      .map((name) => join(ROOT, folder, name))
  );
  return new Map(files.map((file) => [
    relative(ROOT, file),
    readImports(readFileSync(file, "utf8"))
      .filter((name) => name.startsWith("."))
      .map((name) => relative(ROOT, resolve(dirname(file), name))),
  ]));
}

/** Returns each way back to a module that a depth-first walk meets. */
function findCycles(graph: ModuleGraph): readonly string[] {
  const done = new Set<string>();
  const cycles: string[] = [];
  function visit(file: string, path: readonly string[]): void {
    const start = path.indexOf(file);
    if (start >= 0) {
      cycles.push([...path.slice(start), file].join(" -> "));
    } else if (!done.has(file)) {
      graph.get(file)?.forEach((next) => visit(next, [...path, file]));
      done.add(file);
    }
  }
  for (const file of graph.keys()) {
    visit(file, []);
  }
  return cycles;
}

describe("the module graph", () => {
  const graph = readGraph();

  it("has no cycle, types included", () => {
    expect(findCycles(graph)).toEqual([]);
  });

  it("holds every module that is imported", () => {
    const names = [...new Set([...graph.values()].flat())];
    expect(names.filter((name) => !graph.has(name))).toEqual([]);
  });

  it("is read from every form of import", () => {
    const text = `
import type { A } from "a";
import {
  b,
  type B,
} from "b";
import * as c from 'c';
import "d";
export { e } from "e";
export * from "f";
export const name = "x", from = "not a module";
const g = await import("g");
type H = import("h").H;
`;
    expect([...readImports(text)].sort()).toEqual([..."abcdefgh"]);
  });

  it("shows a cycle with all its modules", () => {
    const circle = new Map([
      ["in", ["a"]],
      ["a", ["leaf", "b"]],
      ["b", ["a"]],
      ["leaf", []],
    ]);
    expect(findCycles(circle)).toEqual(["a -> b -> a"]);
  });
});

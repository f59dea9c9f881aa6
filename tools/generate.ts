/** Generates types and validators under `src/generated` from `schema`. */

import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import process from "node:process";
import { Ajv, type AnySchemaObject } from "ajv";
import standalone from "ajv/dist/standalone/index.js";
import { compile } from "json-schema-to-typescript";
import { parse } from "yaml";

const SCHEMA_DIR = "schema";
const OUTPUT_DIR = "src/generated";
/** Schemas whose validators report every problem with the value found. */
const DETAILED_ERROR_SCHEMAS: ReadonlySet<string> = new Set([
  "settings",
  "pool_host",
  "objects",
  "trace",
]);

/** Generated file with its path relative to the repository root. */
interface GeneratedFile {
  readonly path: string;
  readonly text: string;
}

async function generateTypes(
  name: string,
  schema: AnySchemaObject,
): Promise<GeneratedFile> {
  const body = await compile(structuredClone(schema), schema.title, {
    bannerComment: "",
    additionalProperties: false,
    unreachableDefinitions: true,
    format: false,
  });
  const typeNames = [...new Set(collectTypeNames(schema))].sort();
  const idTypes = typeNames.filter((n) => n !== "ErrorKind");
  const lines = [`// Generated from ${SCHEMA_DIR}/${name}.yaml.`];
  if (idTypes.length > 0) {
    lines.push(`import type { ${idTypes.join(", ")} } from "../core/ids.ts";`);
  }
  if (typeNames.includes("ErrorKind")) {
    lines.push(`import type { ErrorKind } from "../core/errors.ts";`);
  }
  return {
    path: `${OUTPUT_DIR}/${name}.ts`,
    text: `${lines.join("\n")}\n\n${body.trim()}\n`,
  };
}

/** Lists the names of types that the schema references with `tsType`. */
function collectTypeNames(node: unknown): string[] {
  if (typeof node !== "object" || node === null) {
    return [];
  }
  return Object.entries(node).flatMap(([key, value]) =>
    key === "tsType"
      ? (/^[A-Z]/.test(value) ? [value] : [])
      : collectTypeNames(value)
  );
}

function generateValidator(
  name: string,
  schema: AnySchemaObject,
): GeneratedFile {
  const ajv = new Ajv({
    allErrors: DETAILED_ERROR_SCHEMAS.has(name),
    verbose: DETAILED_ERROR_SCHEMAS.has(name),
    discriminator: true,
    strict: false,
    unicode: false,
    code: { source: true, esm: true, lines: true },
  });
  const code = standalone.default(ajv, ajv.compile(requireObjectType(schema)));
  const typeName = schema.title;
  const text = [
    "// @ts-nocheck",
    `// Generated from ${SCHEMA_DIR}/${name}.yaml.`,
    `import type { ValidateFunction } from "ajv";`,
    `import type { ${typeName} } from "./${name}.ts";`,
    code.replace(/export const validate = .*;\n?/, "")
      .replace(/export default .*;\n?/, ""),
    `/** Checks that a value is a ${typeName}. */`,
    `export const validate${typeName}: ValidateFunction<${typeName}> = ${
      /export const validate = (\w+)/.exec(code)?.[1]
    };`,
    "",
  ].join("\n");
  return { path: `${OUTPUT_DIR}/${name}_validate.ts`, text };
}

/**
 * Adds `type: object` to each schema with a discriminator, because otherwise
 * the validator accepts any value that is not an object.
 */
function requireObjectType(schema: AnySchemaObject): AnySchemaObject {
  return mapNodes(
    schema,
    (node) => "discriminator" in node ? { type: "object", ...node } : node,
  ) as AnySchemaObject;
}

function mapNodes(node: unknown, transform: (node: object) => object): unknown {
  if (Array.isArray(node)) {
    return node.map((entry) => mapNodes(entry, transform));
  }
  if (typeof node !== "object" || node === null) {
    return node;
  }
  const entries = Object.entries(node)
    .map(([key, value]) => [key, mapNodes(value, transform)]);
  return transform(Object.fromEntries(entries));
}

async function generateAll(): Promise<GeneratedFile[]> {
  const files: GeneratedFile[] = [];
  for (const file of readdirSync(SCHEMA_DIR).sort()) {
    const name = file.replace(/\.yaml$/, "");
    const schema = parse(readFileSync(`${SCHEMA_DIR}/${file}`, "utf8"));
    files.push(await generateTypes(name, schema));
    files.push(generateValidator(name, schema));
  }
  return files;
}

function isUpToDate(file: GeneratedFile): boolean {
  try {
    return readFileSync(file.path, "utf8") === file.text;
  } catch {
    return false;
  }
}

async function main(): Promise<void> {
  const files = await generateAll();
  if (!process.argv.includes("--check")) {
    files.forEach((file) => writeFileSync(file.path, file.text));
    return;
  }
  const outdated = files.filter((file) => !isUpToDate(file));
  for (const file of outdated) {
    console.error(`${file.path} is not up to date: run npm run generate`);
  }
  process.exitCode = outdated.length > 0 ? 1 : 0;
}

await main();

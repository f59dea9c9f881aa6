/** Every message to people, with its number. */

/** A message; names in braces are replaced by the given values. */
export interface Diagnostic {
  readonly code: number;
  readonly text: string;
}

/** The messages by name. Numbers are never used again for another message. */
export const DIAGNOSTICS = {
  file_unreadable: { code: 1001, text: "cannot be read: {detail}" },
  yaml_invalid: { code: 1002, text: "not valid YAML: {detail}" },
  key_unknown: {
    code: 1003,
    text: "found an unknown key, allowed: {allowed}",
  },
  key_misspelt: {
    code: 1004,
    text: "found an unknown key, did you mean {suggestion}? allowed: {allowed}",
  },
  key_missing: { code: 1005, text: "found nothing, required: {allowed}" },
  value_invalid: { code: 1006, text: "found {found}, allowed: {allowed}" },
  value_above: {
    code: 1007,
    text: "found {found}, allowed: at most the value of {other}, {limit}",
  },
  value_repeated: {
    code: 1008,
    text: "found {found}, which stands at {other} already",
  },
  settings_valid: { code: 1009, text: "valid settings of host {host}" },
  host_ready: { code: 2001, text: "{host} ready" },
  host_stopped: { code: 2002, text: "{host} stopped" },
  command_unknown: { code: 3001, text: "no such command: {command}" },
  command_misspelt: {
    code: 3002,
    text: "no such command: {command}, did you mean {suggestion}?",
  },
  usage_invalid: { code: 3003, text: "{detail}" },
  command_failed: { code: 3004, text: "failed: {detail}" },
} as const satisfies Readonly<Record<string, Diagnostic>>;

/** Name of a message. */
export type DiagnosticName = keyof typeof DIAGNOSTICS;

/** The values that a message names in braces. */
type FieldsOf<Text extends string> = Text extends
  `${string}{${infer Name}}${infer Rest}` ? Name | FieldsOf<Rest> : never;

/** The values that the message `N` needs. */
export type DiagnosticFields<N extends DiagnosticName> = Readonly<
  Record<FieldsOf<(typeof DIAGNOSTICS)[N]["text"]>, string | number>
>;

/** Fills in the values of a message. */
export function formatDiagnostic<N extends DiagnosticName>(
  name: N,
  fields: DiagnosticFields<N>,
): string {
  const values: Readonly<Record<string, string | number>> = fields;
  return DIAGNOSTICS[name].text.replaceAll(
    /\{(\w+)\}/g,
    (_, field: string) => `${values[field]}`,
  );
}

/** The number of a message as people see it. */
export function getDiagnosticCode(name: DiagnosticName): string {
  return `TC${DIAGNOSTICS[name].code}`;
}

/** Catalogue of the diagnostics for users and operators, with their codes. */

/** Message template; each name in braces is replaced by a value. */
export interface Diagnostic {
  readonly code: number;
  readonly text: string;
}

/** Diagnostics by name. A code is never reused for another message. */
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
    text: "found {found}, which is already used at {other}",
  },
  settings_valid: { code: 1009, text: "valid settings of host {host}" },
  line_invalid: { code: 1010, text: "{detail}" },
  tls_missing: {
    code: 1011,
    text: "found nothing, required: certificates, since {address} is not a " +
      "loopback address",
  },
  host_ready: { code: 2001, text: "{host} ready" },
  host_stopped: { code: 2002, text: "{host} stopped" },
  host_unencrypted: {
    code: 2003,
    text: "{host}: the ports of {roles} are not encrypted",
  },
  command_unknown: { code: 3001, text: "no such command: {command}" },
  command_misspelt: {
    code: 3002,
    text: "no such command: {command}, did you mean {suggestion}?",
  },
  usage_invalid: { code: 3003, text: "{detail}" },
  command_failed: { code: 3004, text: "failed: {detail}" },
  action_unknown: {
    code: 3005,
    text: "no such action: {found}, allowed: {allowed}",
  },
  argument_missing: { code: 3006, text: "{what} is missing" },
  request_unknown: { code: 3019, text: "no log line mentions request {id}" },
  platform_missing: {
    code: 3007,
    text: "name the platform by --platform URL, --settings FILE or " +
      "TURMERICCHUTE_PLATFORM",
  },
  operators_missing: {
    code: 3008,
    text: "name the operators' ports by --url URL, --settings FILE or " +
      "TURMERICCHUTE_OPERATORS",
  },
  option_invalid: {
    code: 3009,
    text: "--{option}: found {found}, allowed: {allowed}",
  },
  list_applied: { code: 4001, text: "{list}: accepted as version {version}" },
  list_unchanged: { code: 4002, text: "{list}: nothing to change" },
  list_invalid: {
    code: 4003,
    text: "{path}: found {found}, allowed: {allowed}",
  },
  list_conflict: {
    code: 4004,
    text:
      "{key} was changed by another operator and is at version {version}; " +
      "differences made by the other change:",
  },
  list_outdated: {
    code: 4005,
    text: "{list} was changed since the file was written and is at version " +
      "{version}; differences from the file to the stored list:",
  },
  edit_unknown: {
    code: 4006,
    text: "the platform did not answer; the change may have taken effect",
  },
  platform_unreachable: {
    code: 4007,
    text: "the platform cannot be reached; nothing was changed",
  },
  platform_rejected: { code: 4008, text: "the platform refused: {detail}" },
  name_unknown: { code: 4009, text: "there is no {name}" },
  key_issued: { code: 4101, text: "key {keyId} of {workspace}, shown once:" },
  key_withdrawn: { code: 4102, text: "key {keyId} withdrawn" },
  key_rotated: {
    code: 4103,
    text: "key {keyId} replaces {old}, which stays valid for {overlapMs} ms; " +
      "shown once:",
  },
  target_leaving: { code: 4201, text: "{target} is leaving: no new work" },
  target_returned: { code: 4202, text: "{target} accepts work again" },
  host_draining: { code: 4203, text: "{url} is draining" },
  host_unreachable: { code: 4204, text: "{url}: no answer: {detail}" },
} as const satisfies Readonly<Record<string, Diagnostic>>;

/** Name of a diagnostic. */
export type DiagnosticName = keyof typeof DIAGNOSTICS;

/** Names of the placeholders in a message template. */
type FieldsOf<Text extends string> = Text extends
  `${string}{${infer Name}}${infer Rest}` ? Name | FieldsOf<Rest> : never;

/** Values for the placeholders of diagnostic `N`. */
export type DiagnosticFields<N extends DiagnosticName> = Readonly<
  Record<FieldsOf<(typeof DIAGNOSTICS)[N]["text"]>, string | number>
>;

/** Formats a diagnostic with its values. */
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

/** Returns the code of a diagnostic as printed, such as `TC1001`. */
export function getDiagnosticCode(name: DiagnosticName): string {
  return `TC${DIAGNOSTICS[name].code}`;
}

/**
 * Parses and validates settings from the text of a JSON file, with overrides from flags and the
 * environment. All faults are reported together, each with the JSON pointer of its field.
 */
import { err, ok, type Result } from 'neverthrow';
import { type z } from 'zod';
import { type Settings, settingsSchema } from './Settings.js';

export interface SettingsFault {
  readonly kind: 'settings-invalid';
  /** JSON pointer of the field; empty for the whole file. */
  readonly pointer: string;
  readonly detail: string;
}

/** Fields that a flag or the environment may override. */
export const OVERRIDABLE_FIELDS = [
  'entryId',
  'zoneId',
  'callerAddress',
  'operatorAddress',
  'peerAddress',
] as const;

export type OverridableField = (typeof OVERRIDABLE_FIELDS)[number];
export type SettingsOverrides = Partial<Record<OverridableField, string>>;

function pointerOf(path: readonly PropertyKey[]): string {
  return path.map((part) => `/${String(part)}`).join('');
}

function faultsOf(issue: z.core.$ZodIssue): SettingsFault[] {
  const kind = 'settings-invalid';
  if (issue.code !== 'unrecognized_keys') {
    return [{ kind, pointer: pointerOf(issue.path), detail: issue.message }];
  }
  return issue.keys.map((key) => ({
    kind,
    pointer: pointerOf([...issue.path, key]),
    detail: 'unknown field',
  }));
}

function environmentName(field: string): string {
  return `ACACIADOCK_${field.replaceAll(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase()}`;
}

/** Reads overrides from environment variables such as `ACACIADOCK_ENTRY_ID`. */
export function overridesFromEnvironment(
  environment: Readonly<Record<string, string | undefined>>,
): SettingsOverrides {
  const named = OVERRIDABLE_FIELDS.map((field) => [field, environment[environmentName(field)]]);
  return Object.fromEntries(named.filter(([, value]) => value !== undefined)) as SettingsOverrides;
}

function isObject(value: unknown): value is object {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Parses and validates settings. Overrides take precedence over the file. */
export function loadSettings(
  text: string,
  overrides: SettingsOverrides = {},
): Result<Settings, SettingsFault[]> {
  let raw: unknown;
  try {
    raw = JSON.parse(text);
  } catch (cause) {
    const detail = cause instanceof Error ? cause.message : 'not JSON';
    return err([{ kind: 'settings-invalid', pointer: '', detail }]);
  }
  const merged = isObject(raw) ? { ...raw, ...overrides } : raw;
  const parsed = settingsSchema.safeParse(merged);
  if (parsed.success) return ok(parsed.data);
  return err(parsed.error.issues.flatMap((issue) => faultsOf(issue)));
}

/** Generates the reference page of the configuration document from its schema. */
import { z } from 'zod';
import { configDocumentSchema } from './ConfigDocument.js';

const HEAD = `# The configuration document

Written from the schema by \`node tools/config-reference.js\`; CI checks that it is current.

One numbered document declares a deployment. Operators change it by patches (JSON Patch, RFC 6902)
against a version; see [operators/configuration.md](operators/configuration.md). Names carry their
unit: \`Ms\` milliseconds, \`Bytes\` bytes, \`Ratio\` a part from 0 to 1. Ids have up to 128 letters,
digits, dots, dashes, underscores and colons, and begin with a letter or digit; \`constructor\` and
\`prototype\` can't be used as ids. The examples
[bondwright.json](../examples/bondwright.json) and [nha-an.json](../examples/nha-an.json) are whole
documents.
`;

/** The subset of JSON Schema that the document's schema uses. */
interface Schema {
  readonly type?: string;
  readonly const?: unknown;
  readonly enum?: readonly unknown[];
  readonly default?: unknown;
  readonly description?: string;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly exclusiveMinimum?: number;
  readonly exclusiveMaximum?: number;
  readonly maxLength?: number;
  readonly properties?: Readonly<Record<string, Schema>>;
  readonly additionalProperties?: Schema | false;
  readonly required?: readonly string[];
}

function boundsOf(schema: Schema): string[] {
  const { minimum, maximum, exclusiveMinimum, exclusiveMaximum } = schema;
  const bounds: string[] = [];
  if (minimum !== undefined) bounds.push(`at least ${minimum}`);
  if (exclusiveMinimum !== undefined) bounds.push(`above ${exclusiveMinimum}`);
  if (maximum !== undefined && maximum < Number.MAX_SAFE_INTEGER) bounds.push(`at most ${maximum}`);
  if (exclusiveMaximum !== undefined) bounds.push(`below ${exclusiveMaximum}`);
  return bounds;
}

function typeOf(schema: Schema): string {
  if (schema.const !== undefined) return `\`${JSON.stringify(schema.const)}\``;
  if (schema.enum) return schema.enum.map((value) => `\`${String(value)}\``).join(' or ');
  const entity = schema.additionalProperties;
  if (entity) return 'map by id';
  return [schema.type ?? 'any', ...boundsOf(schema)].join(', ');
}

function defaultOf(schema: Schema, required: boolean): string {
  if (required) return 'required';
  return schema.default === undefined ? '' : `\`${JSON.stringify(schema.default)}\``;
}

function tableOf(schema: Schema): string {
  const rows = Object.entries(schema.properties ?? {}).map(([name, field]) => {
    const required = schema.required?.includes(name) === true;
    return `| \`${name}\` | ${typeOf(field)} | ${defaultOf(field, required)} | ${field.description ?? ''} |`;
  });
  return ['| Field | Type | Default | Meaning |', '| --- | --- | --- | --- |', ...rows].join('\n');
}

/** The section of an object, followed by the sections of the objects nested in it. */
function sectionsOf(path: string, schema: Schema): string[] {
  const inner = Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
    const entity = field.additionalProperties;
    if (entity) return sectionsOf(`${path}/${name}/:id`, entity);
    return field.properties ? sectionsOf(`${path}/${name}`, field) : [];
  });
  return [`## ${path === '' ? 'Document' : `\`${path}\``}\n\n${tableOf(schema)}`, ...inner];
}

/** The page as Markdown, before Prettier formats it. */
export function configReference(): string {
  const schema = z.toJSONSchema(configDocumentSchema, { io: 'input' }) as Schema;
  return `${[HEAD, ...sectionsOf('', schema)].join('\n\n')}\n`;
}

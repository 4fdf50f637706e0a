// Generates docs/CONFIG.md from the schema of the configuration document.
import { mkdirSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { format, resolveConfig } from 'prettier';
import { configReference } from '@acaciadock/config';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const page = join(root, 'docs', 'CONFIG.md');

mkdirSync(dirname(page), { recursive: true });
const options = await resolveConfig(page);
writeFileSync(page, await format(configReference(), { ...options, parser: 'markdown' }));

// Installs the dependencies if the lock file is newer than the installation and builds incrementally,
// so that every npm script works in a fresh clone. Output goes to stderr, because stdout belongs to
// the program that the script runs next.
import { spawnSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');

function run(command, args) {
  const done = spawnSync(command, args, { cwd: root, stdio: ['ignore', 2, 2] });
  if (done.status !== 0) process.exit(done.status ?? 1);
}

function installIsCurrent() {
  const marker = join(root, 'node_modules', '.package-lock.json');
  if (!existsSync(marker)) return false;
  return statSync(marker).mtimeMs >= statSync(join(root, 'package-lock.json')).mtimeMs;
}

if (!installIsCurrent()) run('npm', ['ci', '--no-fund', '--no-audit', '--prefer-offline']);
run(process.execPath, [join(root, 'node_modules', 'typescript', 'bin', 'tsc'), '-b']);

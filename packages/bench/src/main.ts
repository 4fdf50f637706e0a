/**
 * Runs one bench by name, or all of them, and prints one JSON line for each as its last output.
 * Exits with 1 if a value violates its bound, and with 2 if the name is unknown.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { Command } from 'commander';
import { type Bound } from './Bench.js';
import { BENCHES } from './registry.js';

const DEFAULT_SEED = 20_261_203;
const RESULTS_FILE = 'bench-results.json';

interface BenchLine {
  readonly bench: string;
  readonly ok: boolean;
  readonly seed: number;
  readonly bounds: readonly Bound[];
}

interface Options {
  readonly seed: string;
  readonly long?: boolean;
  readonly against?: string;
}

async function runBench(name: string, options: Options): Promise<BenchLine> {
  const load = BENCHES[name];
  if (!load) {
    console.error(`unknown bench ${name}; known: ${Object.keys(BENCHES).join(', ')}`);
    process.exit(2);
  }
  const bench = await load();
  const seed = Number(options.seed);
  const { bounds } = await bench.run({ seed, long: options.long === true });
  return { bench: name, ok: bounds.every((bound) => bound.ok), seed, bounds };
}

function printTable(lines: readonly BenchLine[]): void {
  const rows = lines.flatMap(({ bench, bounds }) =>
    bounds.map(({ name, value, unit, bound, kind, ok }) => ({
      bench,
      name,
      value: Number(value.toPrecision(4)),
      unit,
      bound: `${kind} ${bound}`,
      ok,
    })),
  );
  console.table(rows);
}

function printRatios(file: string, lines: readonly BenchLine[]): void {
  const earlier = JSON.parse(readFileSync(file, 'utf8')) as BenchLine[];
  const rows = lines.flatMap((line) => {
    const before = earlier.find(({ bench }) => bench === line.bench);
    return line.bounds.map(({ name, value }) => {
      const was = before?.bounds.find((bound) => bound.name === name)?.value;
      return { bench: line.bench, name, was, now: value, ratio: was ? value / was : undefined };
    });
  });
  console.table(rows);
}

const program = new Command('bench')
  .argument('[name]', 'bench to run; all benches if omitted')
  .option('--seed <number>', 'seed of the random number generators', String(DEFAULT_SEED))
  .option('--long', 'do the full run')
  .option('--against <file>', 'results file of an earlier run to compare with')
  .parse();
const options = program.opts<Options>();
const [wanted] = program.args;

if (wanted !== undefined) {
  const line = await runBench(wanted, options);
  if (options.against !== undefined) printRatios(options.against, [line]);
  console.log(JSON.stringify(line));
  process.exit(line.ok ? 0 : 1);
}

const lines: BenchLine[] = [];
for (const name of Object.keys(BENCHES)) {
  console.error(`bench ${name}`);
  const line = await runBench(name, options);
  console.log(JSON.stringify(line));
  lines.push(line);
}
printTable(lines);
if (options.against !== undefined) printRatios(options.against, lines);
writeFileSync(RESULTS_FILE, `${JSON.stringify(lines, undefined, 2)}\n`);
const ok = lines.every((line) => line.ok);
console.log(JSON.stringify({ bench: 'all', ok, seed: Number(options.seed), bounds: [] }));
process.exit(ok ? 0 : 1);

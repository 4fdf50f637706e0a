#!/usr/bin/env bash
# Runs each day of deploy/days once on each given site file, at most JOBS at a time, and prints a table
# of the reports: kind of day, site, broken rules, worth (`G`) and requests served.
# Usage: tools/kinds-table.sh BENCH OUTPUT_FOLDER JOBS SITE...
set -euo pipefail
bench=$1
out=$2
jobs=$3
shift 3
mkdir -p "$out"
for site in "$@"; do
  for day in deploy/days/*.toml; do
    echo "$site $day $out/$(basename "$site" .toml).$(basename "$day" .toml)"
  done
done | xargs -P "$jobs" -L 1 bash -c \
  '"$0" run "$1" "$2" --report "$3.json" --why "table of kinds: $2" >"$3.txt" 2>&1 || true' "$bench"
for report in "$out"/*.json; do
  node -e '
    const report = JSON.parse(require("fs").readFileSync(process.argv[1], "utf8"));
    const [site, kind] = process.argv[1].split("/").pop().replace(".json", "").split(".");
    const broken = Object.entries(report.breaks).map(([rule, times]) => `${rule} ${times}`);
    const row = [kind, site, broken.join(", ") || "none", report.G.toFixed(3), report.served];
    console.log(`| ${row.join(" | ")} |`);
  ' "$report"
done

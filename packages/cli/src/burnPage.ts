/**
 * Renders the burn report as a self-contained HTML page with tables and plots. The code and style
 * of the `uplot` library are inlined so that the page works offline.
 */
import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { type BurnReport, type ServiceBurn } from '@acaciadock/telemetry';

const PLOT_WIDTH_PX = 720;
const PLOT_HEIGHT_PX = 180;

const STYLE = `
body { font: 14px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 760px; color: #222; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: right; padding: 2px 8px; border-bottom: 1px solid #ddd; }
th:first-child, td:first-child { text-align: left; }
.over { color: #b00020; font-weight: 600; }
`;

/** Script that plots, for each service, the hourly percentage of requests that were not answered. */
const PLOT_SCRIPT = `
for (const service of report.services) {
  const place = document.getElementById('plot-' + service.serviceId);
  if (!place || service.hourly.length === 0) continue;
  const times = service.hourly.map((point) => point.startMs / 1000);
  const bad = service.hourly.map((point) => (point.total ? 100 * point.bad / point.total : 0));
  const allowed = times.map(() => 100 * (1 - service.availabilityTarget));
  new uPlot({
    width: ${PLOT_WIDTH_PX}, height: ${PLOT_HEIGHT_PX}, title: 'not answered, %',
    scales: { x: { time: true } },
    series: [
      {},
      { label: 'not answered', stroke: '#b00020', width: 2, points: { show: true } },
      { label: 'allowed', stroke: '#888', dash: [4, 4] },
    ],
  }, [times, bad, allowed], place);
}
`;

const ESCAPES: Readonly<Record<string, string>> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
};

function escapeHtml(text: string): string {
  return text.replaceAll(/[&<>"]/g, (character) => ESCAPES[character] ?? character);
}

function readLibraryFile(name: string): string {
  return readFileSync(createRequire(import.meta.url).resolve(`uplot/dist/${name}`), 'utf8');
}

function cells(tag: 'td' | 'th', values: readonly (string | number)[]): string {
  return values.map((value) => `<${tag}>${escapeHtml(String(value))}</${tag}>`).join('');
}

function serviceSection(service: ServiceBurn): string {
  const left = service.availabilityBudgetLeft;
  const rows = service.windows
    .map((burn) => {
      const rates = [burn.availabilityBurnRate.toFixed(2), burn.latencyBurnRate.toFixed(2)];
      return `<tr>${cells('td', [burn.window, burn.total, burn.bad, burn.slow, ...rates])}</tr>`;
    })
    .join('');
  const causes = service.causes
    .map(({ problemType, teamId, targetId, zoneId, count }) => {
      const values = [problemType, teamId ?? '', targetId ?? '', zoneId ?? '', count];
      return `<tr>${cells('td', values)}</tr>`;
    })
    .join('');
  const head = cells('th', ['window', 'requests', 'bad', 'late', 'burn', 'latency burn']);
  const causeHead = cells('th', ['bad because', 'team', 'target', 'availability zone', 'count']);
  return `<h2>${escapeHtml(service.serviceId)}</h2>
<p>Objective ${(service.availabilityTarget * 100).toFixed(3)} %. Error budget left over three days:
<span class="${left < 0 ? 'over' : ''}">${(left * 100).toFixed(1)} %</span></p>
<div id="plot-${escapeHtml(service.serviceId)}"></div>
<table><tr>${head}</tr>${rows}</table>
${causes === '' ? '' : `<table><tr>${causeHead}</tr>${causes}</table>`}`;
}

/** Returns the HTML of the page. */
export function burnPage(report: BurnReport): string {
  // `<` is escaped so that no text in the report can end the script element.
  const data = JSON.stringify(report).replaceAll('<', String.raw`\u003c`);
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>${readLibraryFile('uPlot.min.css')}${STYLE}</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>Made at ${new Date(report.madeAtMs).toISOString()}.</p>
${report.services.map(serviceSection).join('\n')}
<script>${readLibraryFile('uPlot.iife.min.js')}</script>
<script>const report = ${data};${PLOT_SCRIPT}</script>
</body>
</html>
`;
}

/** Sends requests to some addresses in a closed loop for some time, and measures their latency. */
import { Pool } from 'undici';

export interface PhaseOptions {
  readonly addresses: readonly string[];
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly inFlight: number;
  readonly warmUpMs: number;
  readonly durationMs: number;
}

/** Figures of the measurement. Answers with a status other than 200 are counted in `failed` only. */
export interface PhaseFigures {
  readonly perSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly failed: number;
  readonly answered: number;
}

const SECOND_MS = 1_000;

function percentile(sorted: readonly number[], part: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0;
}

export class LoadPhase {
  private readonly latenciesMs: number[] = [];

  private failed = 0;

  private readonly pools: Pool[];

  constructor(private readonly options: PhaseOptions) {
    const { addresses, inFlight } = options;
    this.pools = addresses.map(
      (address) => new Pool(`http://${address}`, { connections: inFlight }),
    );
  }

  /** Runs the warm-up and then the measurement; calls `onMeasure` between the two. */
  async run(onMeasure: () => Promise<void>): Promise<PhaseFigures> {
    await this.sendFor(this.options.warmUpMs);
    await onMeasure();
    this.latenciesMs.length = 0;
    this.failed = 0;
    const startMs = performance.now();
    await this.sendFor(this.options.durationMs);
    const tookMs = performance.now() - startMs;
    const sorted = this.latenciesMs.sort((a, b) => a - b);
    await Promise.all(this.pools.map((pool) => pool.destroy()));
    return {
      perSecond: (sorted.length * SECOND_MS) / tookMs,
      p50Ms: percentile(sorted, 0.5),
      p99Ms: percentile(sorted, 0.99),
      failed: this.failed,
      answered: sorted.length,
    };
  }

  private async sendFor(durationMs: number): Promise<void> {
    const untilMs = performance.now() + durationMs;
    const workers = Array.from({ length: this.options.inFlight }, async (_, index) => {
      const pool = this.pools[index % this.pools.length];
      while (pool && performance.now() < untilMs) await this.send(pool);
    });
    await Promise.all(workers);
  }

  private async send(pool: Pool): Promise<void> {
    const { path, headers, body } = this.options;
    const startMs = performance.now();
    const answer = await pool.request({ method: 'POST', path, headers, body });
    await answer.body.arrayBuffer();
    if (answer.statusCode === 200) this.latenciesMs.push(performance.now() - startMs);
    else this.failed += 1;
  }
}

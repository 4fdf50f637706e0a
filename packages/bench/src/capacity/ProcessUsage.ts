/** Reads the processor time and resident memory of a process from /proc. */
import { readFileSync } from 'node:fs';

/** Clock ticks per second in /proc; Linux always reports 100 to user space. */
const TICKS_PER_SECOND = 100;
/** Indexes of the fields after the process name, of which the state is the first. */
const UTIME_FIELD = 11;
const STIME_FIELD = 12;
const BYTES_PER_KIB = 1024;

export interface ProcessUsage {
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}

export function usageOf(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The process name in parentheses may contain spaces, so the fields are counted after it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[UTIME_FIELD]) + Number(fields[STIME_FIELD]);
  const resident = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: Number(resident) * BYTES_PER_KIB,
  };
}

/** `acaciadock explain`: shows the timeline of one job from the entries' logs. */
import { type Command } from 'commander';
import { readFile } from 'node:fs/promises';
import { CliFailure } from '../CliFailure.js';
import { type CommandContext, printResult } from '../CommandContext.js';
import { ExitCode } from '../ExitCode.js';
import { JobTimeline } from '../JobTimeline.js';

async function explain(
  context: CommandContext,
  jobId: string,
  files: readonly string[],
): Promise<void> {
  const logs = await Promise.all(files.map((file) => readFile(file, 'utf8')));
  const timeline = new JobTimeline(jobId, logs);
  if (timeline.isEmpty) {
    throw new CliFailure(
      ExitCode.refused,
      { kind: 'job-not-in-logs', jobId },
      `no line names ${jobId}`,
    );
  }
  printResult(context, timeline.lines, () => timeline.render());
}

export function registerExplain(program: Command, context: CommandContext): void {
  program
    .command('explain')
    .description("show the timeline of a job from the entries' log files")
    .argument('<job-id>', 'id that the caller assigned to the job')
    .argument('<files...>', 'log files of the entries')
    .addHelpText('after', '\nExample:\n  acaciadock explain 5c0e7a21d94b36f8 entry-*.log')
    .action((jobId: string, files: string[]) => explain(context, jobId, files));
}

/** Exit codes of `acaciadock`, documented in its help and in docs/operators/cli.md. */
export const ExitCode = {
  done: 0,
  /** The system refused the command; nothing changed. */
  refused: 1,
  /** The command line is not valid. */
  usage: 2,
  /** The entry could not be reached; nothing was changed. */
  unreachable: 3,
  /** It is not known whether the command took effect. Repeat it under the same patch id. */
  unknown: 4,
} as const;

export type ExitCodeValue = (typeof ExitCode)[keyof typeof ExitCode];

export const EXIT_CODE_HELP = `
Exit codes:
  0 done   1 refused, nothing changed   2 command line not valid
  3 no entry reached   4 not known whether it took effect: repeat with the same --patch-id`;

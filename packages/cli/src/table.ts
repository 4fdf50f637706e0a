/** Renders plain-text tables for a terminal. */
import Table from 'cli-table3';

const BORDERLESS = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  ',
};

export type Cell = string | number;

/** A table with a header row and no borders. */
export function table(head: readonly string[], rows: readonly (readonly Cell[])[]): string {
  const drawn = new Table({
    head: [...head],
    chars: BORDERLESS,
    style: { 'padding-left': 0, 'padding-right': 0, head: [], border: [] },
  });
  rows.forEach((row) => drawn.push([...row]));
  return drawn.toString();
}

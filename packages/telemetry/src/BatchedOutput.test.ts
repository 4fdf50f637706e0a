/** Guards against log lines that are lost, or written one by one at the cost of a system call each. */
import { ManualClock } from '@acaciadock/core';
import { describe, it } from '@acaciadock/core/testing';
import { Writable } from 'node:stream';
import { BatchedOutput } from './BatchedOutput.js';

/** What POSIX writes to a pipe as one. */
const MAX_WRITE_BYTES = 4_096;

function createOutput() {
  const clock = new ManualClock();
  const writes: string[] = [];
  const inner = new Writable({
    write: (text: Buffer, _encoding, done) => {
      writes.push(text.toString());
      done();
    },
  });
  return { clock, writes, output: new BatchedOutput(inner, clock) };
}

describe('BatchedOutput', () => {
  it('writes the lines of a moment at once, in their order', (t) => {
    const { clock, writes, output } = createOutput();
    output.stream.write('a\n');
    output.stream.write('b\n');
    t.same(writes, []);
    clock.advance(20);
    output.stream.write('c\n');
    clock.advance(20);
    t.same(writes, ['a\nb\n', 'c\n']);
  });

  it('does not let a large batch wait', (t) => {
    const { writes, output } = createOutput();
    output.stream.write('x'.repeat(70_000));
    t.equal(writes.length, 1);
  });

  it('ends each write with a whole line, within the bytes that a pipe takes as one', (t) => {
    // Fails if a reader that takes what a pipe holds at once gets half a line, or if characters count.
    const { clock, writes, output } = createOutput();
    const lines = Array.from({ length: 40 }, (_, index) => `${index} ${'ü'.repeat(700)}\n`);
    lines.forEach((line) => output.stream.write(line));
    clock.advance(20);
    t.equal(writes.join(''), lines.join(''));
    t.ok(writes.every((text) => text.endsWith('\n') && Buffer.byteLength(text) <= MAX_WRITE_BYTES));
    t.equal(writes.length, 20, 'as many lines share a write as fit');
  });

  it('writes a line that is too long for that by itself, in its place', (t) => {
    const { clock, writes, output } = createOutput();
    const longLine = `${'x'.repeat(MAX_WRITE_BYTES)}\n`;
    ['a\n', longLine, 'b\n'].forEach((line) => output.stream.write(line));
    clock.advance(20);
    t.same(writes, ['a\n', longLine, 'b\n']);
  });

  it('writes what waits when it is flushed, and every line after it is disposed', (t) => {
    const { writes, output } = createOutput();
    output.stream.write('a\n');
    output.flush();
    output.stream.write('b\n');
    output.dispose();
    output.stream.write('c\n');
    t.same(writes, ['a\n', 'b\n', 'c\n']);
  });
});

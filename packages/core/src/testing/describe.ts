/** Nested `describe` and `it` on top of tap's subtests, which run sequentially. */
import t, { type Test } from 'tap';

let current: Test = t;

/** Defines a group of tests. `body` registers the tests synchronously. */
export function describe(name: string, body: () => void): void {
  void current.test(name, async (group) => {
    const parent = current;
    current = group;
    body();
    current = parent;
  });
}

/** Defines one test in the current group. */
export function it(name: string, body: (test: Test) => void | Promise<void>): void {
  void current.test(name, async (test) => {
    await body(test);
  });
}

/** Nested `describe` and `it` over tap's subtests, which run one after another. */
import t, { type Test } from 'tap';

let current: Test = t;

/** Groups tests; `body` registers them and returns at once. */
export function describe(name: string, body: () => void): void {
  void current.test(name, async (group) => {
    const parent = current;
    current = group;
    body();
    current = parent;
  });
}

/** One test. */
export function it(name: string, body: (test: Test) => void | Promise<void>): void {
  void current.test(name, async (test) => {
    await body(test);
  });
}

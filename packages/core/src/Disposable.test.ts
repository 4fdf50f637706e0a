import { Disposable, toDisposable } from './Disposable.js';
import { describe, it } from './testing/describe.js';

class Owner extends Disposable {
  own(release: () => void): void {
    this.register(toDisposable(release));
  }
}

describe('Disposable', () => {
  describe('dispose', () => {
    it('releases items once, in reverse order of registration', (t) => {
      const released: number[] = [];
      const owner = new Owner();
      owner.own(() => released.push(1));
      owner.own(() => released.push(2));
      owner.dispose();
      owner.dispose();
      t.same(released, [2, 1]);
    });

    it('releases an item at once if it is registered after disposal', (t) => {
      let released = false;
      const owner = new Owner();
      owner.dispose();
      owner.own(() => {
        released = true;
      });
      t.equal(released, true);
    });
  });
});

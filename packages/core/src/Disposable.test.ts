import { Disposable, toDisposable } from './Disposable.js';
import { describe, it } from './testing/describe.js';

class Owner extends Disposable {
  own(release: () => void): void {
    this.register(toDisposable(release));
  }
}

describe('Disposable', () => {
  describe('dispose', () => {
    it('releases in reverse order, once', (t) => {
      const released: number[] = [];
      const owner = new Owner();
      owner.own(() => released.push(1));
      owner.own(() => released.push(2));
      owner.dispose();
      owner.dispose();
      t.same(released, [2, 1]);
    });

    it('releases at once what is registered afterwards', (t) => {
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

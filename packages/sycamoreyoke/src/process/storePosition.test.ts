import {expect} from 'chai';
import {
  RowOrder,
  isRemovable,
  compareRow,
  isLostInList,
  isRemovedInList,
} from './storePosition.js';

const KNOWN = {era: 2, version: 50};

// Guards against a row of a restored store that is taken for an older or a
// newer one because of its version.
it('store position: versions are compared within one era only', () => {
  const orders = [
    {era: 2, version: 49},
    {era: 2, version: 50},
    {era: 2, version: 51},
    {era: 1, version: 99},
    {era: 3, version: 1},
  ].map((read) => compareRow(KNOWN, read));
  expect(orders).to.deep.equal([
    RowOrder.OLDER,
    RowOrder.SAME,
    RowOrder.NEWER,
    RowOrder.OLDER,
    RowOrder.LATER_ERA,
  ]);
  expect(compareRow(undefined, KNOWN)).to.equal(RowOrder.NEWER);
});

// Guards against rows that count as removed because the copy lacks them, and
// against rows that a late list of the same era removes.
it('store position: only a later list of its era removes a row', () => {
  const isRemoved = (era: number, version: number) =>
    isRemovedInList(KNOWN, {era, version});
  expect([isRemoved(2, 50), isRemoved(2, 49)]).to.deep.equal([true, false]);
  expect([isRemoved(1, 99), isRemoved(3, 99)]).to.deep.equal([false, false]);
  expect([1, 2, 3].map((era) => isLostInList(2, era))).to.deep.equal([
    false,
    false,
    true,
  ]);
});

// Guards against the removal of another row that has the version by chance.
it('store position: a version is no condition in another era', () => {
  const eras = [1, 2, 3].filter((era) => isRemovable(KNOWN, era));
  expect(eras).to.deep.equal([2]);
});

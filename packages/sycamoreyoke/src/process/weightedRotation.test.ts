import {expect} from 'chai';
import {WeightedRotation} from './weightedRotation.js';

// Guards against shares that hold only in the long run: a ratio of 90 to 10
// must be visible within a few dozen requests.
it('weighted rotation: shares hold over short spans', () => {
  const rotation = new WeightedRotation();
  const targets = [
    {service: 'a', weight: 90},
    {service: 'b', weight: 10},
  ];
  for (let round = 0; round < 5; round += 1) {
    const chosen = Array.from({length: 20}, () =>
      rotation.choose('r', targets),
    );
    expect(chosen.filter((service) => service === 'b').length).to.equal(2);
  }
});

// Guards against credits of the old weights that skew the first choices after a
// change.
it('weighted rotation: applies changed weights at once', () => {
  const rotation = new WeightedRotation();
  for (let count = 0; count < 7; count += 1) {
    rotation.choose('r', [
      {service: 'a', weight: 1},
      {service: 'b', weight: 9},
    ]);
  }
  const chosen = Array.from({length: 10}, () =>
    rotation.choose('r', [
      {service: 'a', weight: 5},
      {service: 'b', weight: 5},
    ]),
  );
  expect(chosen.filter((service) => service === 'a').length).to.equal(5);
});

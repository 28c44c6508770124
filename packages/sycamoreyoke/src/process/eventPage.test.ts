import {readFileSync} from 'node:fs';
import {expect} from 'chai';
import {renderCatalogue} from './eventPage.js';

// Guards against an event in the code that operators cannot look up.
it('events: docs/events.md is the catalogue of the code', () => {
  const page = new URL('../../../../docs/events.md', import.meta.url);
  expect(readFileSync(page, 'utf8')).to.equal(renderCatalogue());
});

import {expect} from 'chai';
import {SendEnd} from 'sycamoreyoke/request/resend';
import {
  createCall,
  createResponse,
  openLink,
  openNode,
  openSlowProxy,
  sendCall,
  waitFor,
} from './linkTesting.js';

const LARGE_BYTES = 8 * 1024 * 1024;
/** 8 MB take longer than a link may be silent. */
const SLOW_BYTES_PER_MS = 3 * 1024;

// Guards against a slow link that is taken for a silent one while a result is
// on its way.
it('link loss: result that takes long to arrive is not lost', async () => {
  const node = await openNode('peer');
  const proxy = await openSlowProxy(node.address, SLOW_BYTES_PER_MS);
  const link = await openLink(proxy.address);
  const sending = sendCall(link, createCall('large'));
  await waitFor(() => node.taken.length === 1);
  node.taken[0]?.settle(createResponse('large', LARGE_BYTES));
  const result = await sending;
  link.stop();
  proxy.server.close();
  await node.server.close(0);
  expect(result.end).to.equal(SendEnd.RESPONSE);
});

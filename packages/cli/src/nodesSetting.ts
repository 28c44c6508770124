import {z} from 'zod';

/** Setting: comma-separated admin URLs of the nodes to contact first. */
export const nodesSetting = z
  .string()
  .transform((text) => text.split(','))
  .pipe(z.array(z.url()).min(1))
  .describe('admin URLs of one or more nodes, separated by commas');

/** Setting: print JSON instead of a table. */
export const jsonSetting = z
  .stringbool()
  .default(false)
  .describe('true: print JSON; default false');

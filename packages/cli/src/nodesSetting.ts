import {z} from 'zod';

/** Setting that names the nodes to begin with. */
export const nodesSetting = z
  .string()
  .transform((text) => text.split(','))
  .pipe(z.array(z.url()).min(1))
  .describe('admin URLs of one or more nodes, with commas between');

/** Setting that asks for JSON in place of a table. */
export const jsonSetting = z
  .stringbool()
  .default(false)
  .describe('true: print JSON; default false');

/** The bytes of a request body, which may be in pieces. */

/** One buffer, or pieces that were not joined, as that would copy them. */
export type BodyBytes = Uint8Array | readonly Uint8Array[];

export function listPieces(body: BodyBytes): readonly Uint8Array[] {
  return body instanceof Uint8Array ? [body] : body;
}

export function countBytes(body: BodyBytes): number {
  return listPieces(body).reduce((sum, {length}) => sum + length, 0);
}

/**
 * Versions of a store that may be restored from an older copy. A restored store
 * is in a later era and assigns versions again, so versions of two eras say
 * nothing about each other.
 */

/** A version and the era in which it was assigned or read. */
export interface StorePosition {
  readonly era: number;
  readonly version: number;
}

/** How a row that was read compares with the known one. */
export enum RowOrder {
  OLDER = 'older',
  SAME = 'same',
  NEWER = 'newer',
  /** It was read in a later era; it may be older or newer. */
  LATER_ERA = 'later-era',
}

/** Compares the position of a row that was read with the known one. */
export function compareRow(
  known: StorePosition | undefined,
  read: StorePosition,
): RowOrder {
  if (!known) return RowOrder.NEWER;
  if (read.era !== known.era) {
    // An answer of an earlier era was delayed.
    return read.era > known.era ? RowOrder.LATER_ERA : RowOrder.OLDER;
  }
  if (read.version === known.version) return RowOrder.SAME;
  return read.version > known.version ? RowOrder.NEWER : RowOrder.OLDER;
}

/**
 * Whether a known row that a list lacks was removed. The list may be older than
 * the row. A list of a later era lacks rows that were written after the copy.
 */
export function isRemovedInList(
  known: StorePosition,
  list: StorePosition,
): boolean {
  return known.era === list.era && known.version <= list.version;
}

/**
 * Whether a list shows that the store has lost a row: the row was in an earlier
 * era, and the list lacks it.
 */
export function isLostInList(knownEra: number, listEra: number): boolean {
  return knownEra < listEra;
}

/**
 * Whether a row may be removed on the condition that it has the version in
 * which it was read. In another era, another row may have that version.
 */
export function isRemovable(
  readIn: StorePosition,
  currentEra: number,
): boolean {
  return readIn.era === currentEra;
}

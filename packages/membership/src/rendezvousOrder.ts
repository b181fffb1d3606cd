const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Hashes text to 32 bits (FNV-1a with a final mix). */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, FNV_PRIME);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  return hash >>> 0;
}

/** Orders items by highest random weight for a subject. */
export function rendezvousOrder<Item>(
  subject: string,
  items: readonly Item[],
  nameOf: (item: Item) => string,
): Item[] {
  const weighed = items.map(item => ({
    item,
    weight: hashText(`${subject}/${nameOf(item)}`),
  }));
  weighed.sort((first, second) => second.weight - first.weight);
  return weighed.map(({item}) => item);
}

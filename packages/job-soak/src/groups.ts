/** Groups elements by a key, in the order of their first elements. */
export function groupBy<Key, Element>(
    elements: Iterable<Element>,
    findKey: (element: Element) => Key,
): Map<Key, Element[]> {
    const groups = new Map<Key, Element[]>();
    for (const element of elements) {
        const key = findKey(element);
        const group = groups.get(key);
        if (group === undefined) {
            groups.set(key, [element]);
        }
        else {
            group.push(element);
        }
    }
    return groups;
}

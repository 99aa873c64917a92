/**
 * A persistent map: a changed copy shares all shards but one with the original, so that a change copies only a small
 * part of the entries. Keys are assigned to shards by hash; iteration goes shard by shard.
 */
import * as hash from "./hash.js";

const shardCount = 256;
const emptyShard: ReadonlyMap<string, unknown> = new Map();

/** An immutable map; `with`, `without` and `mapValues` return changed copies. */
export class ShardedMap<Value> implements ReadonlyMap<string, Value> {
    private readonly shards: readonly ReadonlyMap<string, Value>[];
    readonly size: number;

    private constructor(shards: readonly ReadonlyMap<string, Value>[], size: number) {
        this.shards = shards;
        this.size = size;
    }

    static empty<Value>(): ShardedMap<Value> {
        return new ShardedMap<Value>(new Array<ReadonlyMap<string, Value>>(shardCount).fill(getEmptyShard()), 0);
    }

    /** Creates a map of the entries; returns `entries` itself if it already is a `ShardedMap`. */
    static from<Value>(entries: Iterable<readonly [string, Value]>): ShardedMap<Value> {
        if (entries instanceof ShardedMap) {
            return entries;
        }
        const shards = Array.from({ length: shardCount }, () => new Map<string, Value>());
        for (const [key, value] of entries) {
            shards[computeShardIndex(key)]?.set(key, value);
        }
        const filled = shards.map(shard => shard.size === 0 ? getEmptyShard<Value>() : shard);
        return new ShardedMap<Value>(filled, shards.reduce((sum, shard) => sum + shard.size, 0));
    }

    get(key: string): Value | undefined {
        return this.shards[computeShardIndex(key)]?.get(key);
    }

    has(key: string): boolean {
        return this.shards[computeShardIndex(key)]?.has(key) ?? false;
    }

    /** Returns a copy in which the key has the value. */
    with(key: string, value: Value): ShardedMap<Value> {
        return this.replaceShard(computeShardIndex(key), shard => shard.set(key, value));
    }

    /** Returns a copy without the key. */
    without(key: string): ShardedMap<Value> {
        return this.replaceShard(computeShardIndex(key), shard => shard.delete(key));
    }

    /** Returns a copy with each value replaced; shards in which no value changes are shared. */
    mapValues(replace: (value: Value) => Value): ShardedMap<Value> {
        return new ShardedMap(this.shards.map(shard => mapShard(shard, replace)), this.size);
    }

    forEach(visit: (value: Value, key: string, map: ReadonlyMap<string, Value>) => void): void {
        for (const [key, value] of this) {
            visit(value, key, this);
        }
    }

    *entries(): Generator<[string, Value], undefined> {
        for (const shard of this.shards) {
            yield* shard;
        }
    }

    *keys(): Generator<string, undefined> {
        for (const shard of this.shards) {
            yield* shard.keys();
        }
    }

    *values(): Generator<Value, undefined> {
        for (const shard of this.shards) {
            yield* shard.values();
        }
    }

    [Symbol.iterator](): Generator<[string, Value], undefined> {
        return this.entries();
    }

    private replaceShard(index: number, change: (shard: Map<string, Value>) => void): ShardedMap<Value> {
        const old = this.shards[index] ?? getEmptyShard<Value>();
        const shard = new Map<string, Value>(old);
        change(shard);
        const shards = this.shards.slice();
        shards[index] = shard.size === 0 ? getEmptyShard<Value>() : shard;
        return new ShardedMap<Value>(shards, this.size + shard.size - old.size);
    }
}

/** Returns the empty shard, an object that all maps share and that is never modified. */
function getEmptyShard<Value>(): ReadonlyMap<string, Value> {
    return emptyShard as ReadonlyMap<string, Value>;
}

function computeShardIndex(key: string): number {
    return hash.mixBits(hash.hashText(key)) % shardCount;
}

function mapShard<Value>(
    shard: ReadonlyMap<string, Value>,
    replace: (value: Value) => Value,
): ReadonlyMap<string, Value> {
    let changed: Map<string, Value> | undefined;
    for (const [key, value] of shard) {
        const replaced = replace(value);
        if (replaced !== value) {
            changed ??= new Map(shard);
            changed.set(key, replaced);
        }
    }
    return changed ?? shard;
}

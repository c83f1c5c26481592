// Package merge decides how two processes find and close the differences between what they hold.
//
// Every item has a key and a version, and the highest version of a key wins. Two processes first
// compare one summary, then the sums of buckets of keys, and only then the versions in the buckets
// that differ, so that an exchange without differences costs a few bytes.
package merge

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets that keys fall into. With 2,500 hosts a bucket holds about 40
// keys, so one difference costs about 1.5 KB to find.
const Buckets = 64

// Item names a version of one thing that spreads.
type Item struct {
	Key     string
	Version uint64
}

// Sums holds one order-independent hash per bucket.
type Sums [Buckets]uint64

// SumsOf returns the sums of items with distinct keys.
func SumsOf(items []Item) Sums {
	var sums Sums
	for _, item := range items {
		sums[BucketOf(item.Key)] += hashItem(item)
	}
	return sums
}

// Summary returns one hash over all sums.
func (s Sums) Summary() uint64 {
	digest := xxhash.New()
	var buffer [8]byte
	for _, sum := range s {
		binary.LittleEndian.PutUint64(buffer[:], sum)
		_, _ = digest.Write(buffer[:])
	}
	return digest.Sum64()
}

// Differing returns the buckets whose sums differ.
func (s Sums) Differing(other []uint64) []uint32 {
	var buckets []uint32
	for i, sum := range s {
		if i >= len(other) || other[i] != sum {
			buckets = append(buckets, uint32(i))
		}
	}
	return buckets
}

// BucketOf returns the bucket of a key.
func BucketOf(key string) int { return int(xxhash.Sum64String(key) % Buckets) }

// InBuckets returns the items in the given buckets.
func InBuckets(items []Item, buckets []uint32) []Item {
	var in []Item
	for _, item := range items {
		if slices.Contains(buckets, uint32(BucketOf(item.Key))) {
			in = append(in, item)
		}
	}
	return in
}

// Compare returns the keys of which mine are newer and those of which theirs are newer, each sorted.
func Compare(mine, theirs []Item) (send, want []string) {
	held := make(map[string]uint64, len(mine))
	for _, item := range mine {
		held[item.Key] = item.Version
	}
	for _, item := range theirs {
		version, ok := held[item.Key]
		delete(held, item.Key)
		switch {
		case !ok || version < item.Version:
			want = append(want, item.Key)
		case version > item.Version:
			send = append(send, item.Key)
		}
	}
	send = append(send, slices.Collect(maps.Keys(held))...)
	slices.Sort(send)
	slices.Sort(want)
	return send, want
}

func hashItem(item Item) uint64 {
	digest := xxhash.New()
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], item.Version)
	_, _ = digest.Write(buffer[:])
	_, _ = digest.WriteString(item.Key)
	return digest.Sum64()
}

// Package merge implements the anti-entropy protocol by which two processes find and reconcile the items in which they differ.
//
// Every item has a key and a version, and the highest version of a key wins. Two processes first compare one summary, then the
// sums of buckets of keys, and only then the versions in the buckets that differ, so that an exchange between equal sets costs
// a few bytes.
package merge

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets that keys are hashed into. With 2,500 hosts a bucket holds about 40 keys, so finding one
// difference costs about 1.5 KB.
const Buckets = 64

// Item identifies one version of a replicated document or record.
type Item struct {
	Key     string
	Version uint64
}

// Sums holds one hash per bucket that does not depend on the order of items.
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

// Differing returns the buckets whose sums differ from other or are missing in it.
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
	var selected [Buckets]bool
	for _, bucket := range buckets {
		if bucket < Buckets {
			selected[bucket] = true
		}
	}
	var matching []Item
	for _, item := range items {
		if selected[BucketOf(item.Key)] {
			matching = append(matching, item)
		}
	}
	return matching
}

// Compare returns the keys to send, which are newer in mine or missing in theirs, and the keys to request, for which the reverse
// holds. Both are sorted.
func Compare(mine, theirs []Item) (send, want []string) {
	remaining := make(map[string]uint64, len(mine))
	for _, item := range mine {
		remaining[item.Key] = item.Version
	}
	for _, item := range theirs {
		version, ok := remaining[item.Key]
		delete(remaining, item.Key)
		switch {
		case !ok || version < item.Version:
			want = append(want, item.Key)
		case version > item.Version:
			send = append(send, item.Key)
		}
	}
	send = append(send, slices.Collect(maps.Keys(remaining))...)
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

package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// hashLoad is the time that requests for one key hash held slots, and their number.
type hashLoad struct {
	busy  time.Duration
	count int
}

// LoadMeter measures how long requests held slots, by shard and by key hash, since
// the last call to Read. It is not safe for concurrent use.
type LoadMeter struct {
	since  time.Duration
	shards map[uint64]time.Duration
	hashes map[uint64]*hashLoad
}

// Limits of what a meter keeps and reports: the number of key hashes kept, the
// number reported per shard, and the minimum fraction of the shard's load of a
// reported one.
const (
	maxHashes           = 512
	maxReportedHashes   = 2
	minReportedFraction = 0.1
)

// NewLoadMeter returns a meter that starts measuring at now.
func NewLoadMeter(now time.Duration) *LoadMeter {
	return &LoadMeter{since: now, shards: map[uint64]time.Duration{}, hashes: map[uint64]*hashLoad{}}
}

// Add records how long a request for a hash held a slot; the shard of the hash
// begins at low.
func (m *LoadMeter) Add(low, hash uint64, held time.Duration) {
	m.shards[low] += held
	entry, known := m.hashes[hash]
	if !known {
		if len(m.hashes) >= maxHashes {
			m.dropColdHashes()
		}
		entry = &hashLoad{}
		m.hashes[hash] = entry
	}
	entry.busy += held
	entry.count++
}

// dropColdHashes drops the less loaded half of the hashes.
func (m *LoadMeter) dropColdHashes() {
	busy := make([]time.Duration, 0, len(m.hashes))
	for _, entry := range m.hashes {
		busy = append(busy, entry.busy)
	}
	slices.Sort(busy)
	median := busy[len(busy)/2]
	maps.DeleteFunc(m.hashes, func(_ uint64, entry *hashLoad) bool { return entry.busy <= median })
}

// HotHash is a key hash with its load: the average number of slots that its
// requests held.
type HotHash struct {
	Hash uint64
	Rate float64
}

// ShardRate is the load of a shard, as the average number of busy slots, with its
// most loaded hashes.
type ShardRate struct {
	Low  uint64
	Rate float64
	Hot  []HotHash
}

// Since returns when the current measurement began.
func (m *LoadMeter) Since() time.Duration { return m.since }

// Read returns the loads of the shards that were not idle since the last call, and
// starts a new measurement. shardOf returns the first hash of the shard that a hash
// belongs to.
func (m *LoadMeter) Read(now time.Duration, shardOf func(hash uint64) uint64) []ShardRate {
	elapsed := float64(max(now-m.since, time.Millisecond))
	hot := m.hotByShard(elapsed, shardOf)
	rates := make([]ShardRate, 0, len(m.shards))
	for _, low := range slices.Sorted(maps.Keys(m.shards)) {
		rate := float64(m.shards[low]) / elapsed
		rates = append(rates, ShardRate{Low: low, Rate: rate, Hot: hottest(hot[low], rate)})
	}
	m.since = now
	clear(m.shards)
	clear(m.hashes)
	return rates
}

func (m *LoadMeter) hotByShard(elapsed float64, shardOf func(uint64) uint64) map[uint64][]HotHash {
	hot := map[uint64][]HotHash{}
	for hash, entry := range m.hashes {
		if entry.count < 2 {
			continue
		}
		low := shardOf(hash)
		hot[low] = append(hot[low], HotHash{Hash: hash, Rate: float64(entry.busy) / elapsed})
	}
	return hot
}

// hottest returns the few most loaded hashes that carry a notable part of the
// shard's load.
func hottest(hashes []HotHash, rate float64) []HotHash {
	slices.SortFunc(hashes, func(a, b HotHash) int {
		if c := cmp.Compare(b.Rate, a.Rate); c != 0 {
			return c
		}
		return cmp.Compare(a.Hash, b.Hash)
	})
	kept := hashes[:0]
	for _, hash := range hashes {
		if len(kept) < maxReportedHashes && hash.Rate >= rate*minReportedFraction {
			kept = append(kept, hash)
		}
	}
	return kept
}

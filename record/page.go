package record

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// KeyHash returns the position of a key in its service's hash space.
func KeyHash(service, key string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// ShardState is the ownership state of a shard.
type ShardState string

// The states of a shard.
const (
	// ShardOwned means that Owner may be granted the shard under Token.
	ShardOwned ShardState = "owned"
	// ShardReleasing means that no server may be granted the shard in this
	// generation. Owner may still hold it from an earlier generation.
	ShardReleasing ShardState = "releasing"
)

// Shard is a range of the hash space that one backend server owns.
type Shard struct {
	// Low is the first hash of the range; the range ends before the next shard.
	Low   uint64     `json:"low"`
	Owner string     `json:"owner,omitempty"`
	State ShardState `json:"state"`
	// Token is the generation in which Owner became the owner. It grows with
	// every change of owner of any key.
	Token uint64 `json:"token,omitempty"`
	// Next is the intended next owner while the shard is releasing.
	Next string `json:"next,omitempty"`
	// Released is the generation in which the shard entered ShardReleasing.
	Released uint64 `json:"released,omitempty"`
}

// Releasing reports whether the shard is waiting for a new owner.
func (s Shard) Releasing() bool { return s.State == ShardReleasing }

// Grantable reports whether the shard's owner may be granted it.
func (s Shard) Grantable() bool { return s.State == ShardOwned && s.Owner != "" }

// Page holds the shard assignment of one contiguous range of a service's hash
// space. It is the unit of conditional updates and of lease renewal.
type Page struct {
	Name       string `json:"-"`
	Service    string `json:"service"`
	Home       string `json:"home"`
	Index      int    `json:"index"`
	Low        uint64 `json:"low"`
	High       uint64 `json:"high"` // inclusive
	Generation uint64 `json:"generation"`
	// Group lists the hosts whose controllers renew this page's leases. The
	// first one changes the assignment.
	Group []string `json:"group"`
	// OldGroup is the previous group. It is kept after a change of group until
	// every lease that only the old group has agreed to has expired.
	OldGroup []string `json:"oldGroup,omitempty"`
	// GroupSince is the first generation of Group.
	GroupSince uint64 `json:"groupSince"`
	// Bounded limits how long the group may renew leases without access to the
	// store, so that another failure domain can take over the page after that
	// time. It is fixed when the page is created, because a group that is cut
	// off could not learn of a change.
	Bounded bool `json:"bounded,omitempty"`
	// TakenOver is the generation in which another failure domain took over the
	// page, or 0.
	TakenOver uint64  `json:"takenOver,omitempty"`
	Shards    []Shard `json:"shards"`
	// Attempt identifies the write that created this generation. A writer that
	// did not receive the store's reply compares it to find out whether its
	// write took effect.
	Attempt string `json:"attempt"`
}

// PageName returns the name of a service's page.
func PageName(service string, index int) string {
	return fmt.Sprintf("%s.%d", service, index)
}

// PageIndex returns the index of the page that holds a hash, out of count pages.
func PageIndex(hash uint64, count int) int {
	width := math.MaxUint64/uint64(count) + 1
	return int(hash / width)
}

// PageRange returns the inclusive range of the index-th of count pages.
func PageRange(index, count int) (low, high uint64) {
	if count == 1 {
		return 0, math.MaxUint64
	}
	width := math.MaxUint64/uint64(count) + 1
	low = width * uint64(index)
	if index == count-1 {
		return low, math.MaxUint64
	}
	return low, low + width - 1
}

// PageCount returns the number of pages of the service.
func (s Service) PageCount() int { return len(s.Domains) * s.PagesPerDomain }

// PageHome returns the home failure domain of the index-th page.
func (s Service) PageHome(index int) string { return s.Domains[index%len(s.Domains)] }

// PageOf returns the index of the page that holds a hash.
func (s Service) PageOf(hash uint64) int {
	if s.PageCount() == 1 {
		return 0
	}
	return PageIndex(hash, s.PageCount())
}

// DecodePage decodes a page and checks the order of its shards.
func DecodePage(e Envelope) (Page, error) {
	page := Page{Name: e.Name}
	if err := json.Unmarshal(e.Spec, &page); err != nil {
		return Page{}, specError(e, err)
	}
	c := validator{ref: e.Ref()}
	c.require(len(page.Shards) > 0 && page.Shards[0].Low == page.Low, "shards", fmt.Sprint(len(page.Shards)), "the first shard must begin with the page")
	ordered := slices.IsSortedFunc(page.Shards, func(a, b Shard) int {
		if a.Low < b.Low {
			return -1
		}
		return 1
	})
	c.require(ordered, "shards", "out of order", "sort shards by their first hash, each once")
	return page, c.err()
}

// Encode returns the page's record.
func (p Page) Encode() (Envelope, error) {
	spec, err := json.Marshal(p)
	return Envelope{Kind: KindPage, Name: p.Name, Schema: SchemaV2, Spec: spec}, err
}

// Clone returns a deep copy of the page.
func (p Page) Clone() Page {
	p.Group = slices.Clone(p.Group)
	p.OldGroup = slices.Clone(p.OldGroup)
	p.Shards = slices.Clone(p.Shards)
	return p
}

// Contains reports whether the hash lies in the page's range.
func (p Page) Contains(hash uint64) bool { return hash >= p.Low && hash <= p.High }

// ShardAt returns the index of the shard that holds the hash. The hash must lie
// in the page's range.
func (p Page) ShardAt(hash uint64) int {
	index, exact := slices.BinarySearchFunc(p.Shards, hash, func(s Shard, target uint64) int {
		switch {
		case s.Low < target:
			return -1
		case s.Low > target:
			return 1
		}
		return 0
	})
	if exact {
		return index
	}
	return index - 1
}

// ShardHigh returns the last hash of the index-th shard.
func (p Page) ShardHigh(index int) uint64 {
	if index == len(p.Shards)-1 {
		return p.High
	}
	return p.Shards[index+1].Low - 1
}

// Voters lists the hosts that vote on the page's leases: the group and, during a
// change of group, the old group.
func (p Page) Voters() []string {
	voters := slices.Clone(p.Group)
	for _, host := range p.OldGroup {
		if !slices.Contains(voters, host) {
			voters = append(voters, host)
		}
	}
	return voters
}

// Package report turns counts of requests into service-level burn: how fast each
// service spends the budget that its objectives leave for failures.
package report

import (
	"slices"
	"time"
)

// Count is a number of requests, and of those that broke an objective.
type Count struct {
	Total uint64 `json:"t"`
	// Bad requests were not done, Slow ones were done too late.
	Bad  uint64 `json:"b,omitempty"`
	Slow uint64 `json:"s,omitempty"`
}

// Add adds another count.
func (c *Count) Add(other Count) {
	c.Total += other.Total
	c.Bad += other.Bad
	c.Slow += other.Slow
}

// Bucket is a count for a stretch of time.
type Bucket struct {
	// Start is in units of the bucket's width since the epoch.
	Start int64 `json:"at"`
	Count
}

// Widths and numbers of buckets. Minutes serve the short windows, hours the long.
const (
	minuteBuckets = 60
	hourBuckets   = 72
)

// Series is the history of one service in one failure domain, small enough for
// a record.
type Series struct {
	Domain  string   `json:"domain"`
	Service string   `json:"service"`
	Minutes []Bucket `json:"minutes"`
	Hours   []Bucket `json:"hours"`
	// Causes counts bad requests by reason, over the hours kept.
	Causes map[string]uint64 `json:"causes,omitempty"`
}

// Add notes a count at a time.
func (s *Series) Add(now time.Time, count Count, causes map[string]uint64) {
	s.Minutes = addTo(s.Minutes, now.Unix()/60, count, minuteBuckets)
	s.Hours = addTo(s.Hours, now.Unix()/3600, count, hourBuckets)
	if s.Causes == nil {
		s.Causes = map[string]uint64{}
	}
	for cause, n := range causes {
		s.Causes[cause] += n
	}
}

// addTo adds to the bucket that starts at start, and drops the oldest.
func addTo(buckets []Bucket, start int64, count Count, most int) []Bucket {
	last := len(buckets) - 1
	if last < 0 || buckets[last].Start < start {
		buckets = append(buckets, Bucket{Start: start})
		last++
	}
	buckets[last].Add(count)
	oldest := start - int64(most)
	return slices.DeleteFunc(buckets, func(b Bucket) bool { return b.Start <= oldest })
}

// Within sums up a window that ends now.
func (s Series) Within(now time.Time, window time.Duration) Count {
	var sum Count
	if window <= minuteBuckets*time.Minute {
		from := now.Add(-window).Unix() / 60
		return sumFrom(s.Minutes, from, sum)
	}
	return sumFrom(s.Hours, now.Add(-window).Unix()/3600, sum)
}

func sumFrom(buckets []Bucket, from int64, sum Count) Count {
	for _, bucket := range buckets {
		if bucket.Start > from {
			sum.Add(bucket.Count)
		}
	}
	return sum
}

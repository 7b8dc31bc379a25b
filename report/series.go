// Package report computes error budget burn rates from counts of requests: how fast
// each service spends the failures that its service-level objectives allow.
package report

import (
	"slices"
	"time"
)

// Count is a number of requests, and how many of them missed an objective.
type Count struct {
	Total uint64 `json:"t"`
	// Bad is the number of requests that failed, Slow the number of those that
	// succeeded too late.
	Bad  uint64 `json:"b,omitempty"`
	Slow uint64 `json:"s,omitempty"`
}

func (c *Count) Add(other Count) {
	c.Total += other.Total
	c.Bad += other.Bad
	c.Slow += other.Slow
}

// Bucket is the count of one period.
type Bucket struct {
	// Start is the start of the period since the Unix epoch, in units of the bucket's
	// width.
	Start int64 `json:"at"`
	Count
}

// Numbers of buckets. Buckets of a minute serve windows of up to an hour, buckets of an
// hour the longer ones.
const (
	minuteBuckets = 60
	hourBuckets   = 72
)

// Series is the request history of one service in one failure domain. It is small
// enough to be stored in a record.
type Series struct {
	Domain  string   `json:"domain"`
	Service string   `json:"service"`
	Minutes []Bucket `json:"minutes"`
	Hours   []Bucket `json:"hours"`
	// Causes counts bad requests by reason since the series began.
	Causes map[string]uint64 `json:"causes,omitempty"`
}

// Add adds a count at the given time.
func (s *Series) Add(now time.Time, count Count, causes map[string]uint64) {
	s.Minutes = addToBuckets(s.Minutes, now.Unix()/60, count, minuteBuckets)
	s.Hours = addToBuckets(s.Hours, now.Unix()/3600, count, hourBuckets)
	if s.Causes == nil {
		s.Causes = map[string]uint64{}
	}
	for cause, n := range causes {
		s.Causes[cause] += n
	}
}

// addToBuckets adds a count to the newest bucket, or to a new one if start is later, and drops
// the buckets beyond the limit. A count whose start is older than the newest bucket is
// added to that bucket.
func addToBuckets(buckets []Bucket, start int64, count Count, limit int) []Bucket {
	last := len(buckets) - 1
	if last < 0 || buckets[last].Start < start {
		buckets = append(buckets, Bucket{Start: start})
		last++
	}
	buckets[last].Add(count)
	oldest := start - int64(limit)
	return slices.DeleteFunc(buckets, func(b Bucket) bool { return b.Start <= oldest })
}

// Within returns the sum of the buckets in a window that ends now.
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

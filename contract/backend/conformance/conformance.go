// Package conformance tests that a backend server behaves as package backend
// documents, as far as a controller and a router can observe.
package conformance

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadarouter/contract/backend"
	"cicadarouter/ownership"
)

// Server is a server under test.
type Server struct {
	Control backend.Control
	// Request sends a request for the key with a page and token, and returns the
	// server's refusal, or "" if the request ran.
	Request func(key, page string, token uint64) backend.Refusal
	// Hash returns a key's hash.
	Hash func(key string) uint64
	// Advance moves the server's clock forward.
	Advance func(d time.Duration)
}

const (
	page          = "test.0"
	key           = "key"
	leaseDuration = time.Minute
)

// Checked tests a server that checks tokens.
func Checked(t *testing.T, open func(t *testing.T) Server) {
	rows := []struct {
		name string
		test func(t *testing.T, s Server)
	}{
		{"a server without a grant refuses", func(t *testing.T, s Server) {
			assert.Equal(t, s.Request(key, page, 1), backend.RefusedToken)
		}},
		{"requests for a granted key run with its token only", func(t *testing.T, s Server) {
			s.grant(t, 1, 5)
			assert.Equal(t, s.Request(key, page, 5), backend.Refusal(""))
			assert.Equal(t, s.Request(key, page, 4), backend.RefusedToken)
			assert.Equal(t, s.Request(key, page, 6), backend.RefusedToken)
		}},
		{"requests are refused after the grant has expired", func(t *testing.T, s Server) {
			s.grant(t, 1, 5)
			s.Advance(leaseDuration)
			assert.Equal(t, s.Request(key, page, 5), backend.RefusedToken)
		}},
		{"an older generation is refused", func(t *testing.T, s Server) {
			s.grant(t, 2, 5)
			report := s.offerGrant(t, 1, 4)
			assert.Equal(t, report.Refusal, ownership.RefusedGeneration)
			assert.Equal(t, s.Request(key, page, 4), backend.RefusedToken)
		}},
		{"a newer generation without the key revokes it", func(t *testing.T, s Server) {
			s.grant(t, 1, 5)
			report, err := s.Control.Report(context.Background(), page)
			assert.NilError(t, err)
			_, err = s.Control.Grant(context.Background(), ownership.Grant{
				Page: page, Generation: 2, Incarnation: report.Incarnation, Expiry: report.Clock + leaseDuration, Complete: true,
			})
			assert.NilError(t, err)
			assert.Equal(t, s.Request(key, page, 5), backend.RefusedToken)
		}},
		{"a grant for another incarnation is refused", func(t *testing.T, s Server) {
			report, err := s.Control.Report(context.Background(), page)
			assert.NilError(t, err)
			report, err = s.Control.Grant(context.Background(), ownership.Grant{
				Page: page, Generation: 1, Incarnation: report.Incarnation + 1, Expiry: report.Clock + leaseDuration, Complete: true,
			})
			assert.NilError(t, err)
			assert.Equal(t, report.Refusal, ownership.RefusedIncarnation)
		}},
		{"a renewal needs no shards but a new generation does", func(t *testing.T, s Server) {
			s.grant(t, 1, 5)
			report, err := s.Control.Report(context.Background(), page)
			assert.NilError(t, err)
			renewal := ownership.Grant{Page: page, Generation: 1, Incarnation: report.Incarnation, Expiry: report.Clock + 2*leaseDuration}
			report, err = s.Control.Grant(context.Background(), renewal)
			assert.NilError(t, err)
			assert.Equal(t, report.Refusal, ownership.RefusalReason(""))
			s.Advance(leaseDuration)
			assert.Equal(t, s.Request(key, page, 5), backend.Refusal(""))
			renewal.Generation = 2
			report, err = s.Control.Grant(context.Background(), renewal)
			assert.NilError(t, err)
			assert.Equal(t, report.Refusal, ownership.RefusedIncomplete)
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) { row.test(t, open(t)) })
	}
}

// Unchecked tests a server that does not check tokens.
func Unchecked(t *testing.T, open func(t *testing.T) Server) {
	t.Run("a request runs without a grant", func(t *testing.T) {
		assert.Equal(t, open(t).Request(key, page, 1), backend.Refusal(""))
	})
}

// offerGrant sends a grant of the key under the token and returns the report.
func (s Server) offerGrant(t *testing.T, generation, token uint64) backend.Report {
	t.Helper()
	before, err := s.Control.Report(context.Background(), page)
	assert.NilError(t, err)
	hash := s.Hash(key)
	report, err := s.Control.Grant(context.Background(), ownership.Grant{
		Page:        page,
		Generation:  generation,
		Incarnation: before.Incarnation,
		Expiry:      before.Clock + leaseDuration,
		Shards:      []ownership.HeldShard{{Low: hash, High: hash, Token: token}},
		Complete:    true,
	})
	assert.NilError(t, err)
	return report
}

func (s Server) grant(t *testing.T, generation, token uint64) {
	t.Helper()
	report := s.offerGrant(t, generation, token)
	assert.Equal(t, report.Refusal, ownership.RefusalReason(""))
	assert.Equal(t, report.Generation, generation)
}

// Package silence simulates a server that loses responses, for tests.
package silence

import (
	"context"
	"sync"
)

// Silence tells which responses are lost: those to calls that are under way when the server goes silent,
// and to calls that it accepts meanwhile. The zero value is a server that answers. It is safe for
// concurrent use.
type Silence struct {
	mu     sync.Mutex
	silent bool
	count  int
}

// Call is a call that the server has accepted.
type Call struct{ silences int }

// Set makes the server silent or ends its silence.
func (s *Silence) Set(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if silent {
		s.count++
	}
}

// Accept returns a call that is accepted now.
func (s *Silence) Accept() Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return Call{s.count - 1}
	}
	return Call{s.count}
}

// IsLost reports whether the response to a call is lost. If it is, it returns when the caller gives up.
func (s *Silence) IsLost(ctx context.Context, call Call) bool {
	s.mu.Lock()
	lost := s.silent || s.count != call.silences
	s.mu.Unlock()
	if lost {
		<-ctx.Done()
	}
	return lost
}

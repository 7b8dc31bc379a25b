package keyspace

// CallKind is what a call asks of a server.
type CallKind int

// The kinds of calls.
const (
	// GrantCall grants or renews the keys.
	GrantCall CallKind = iota
	// ReleaseCall takes the keys back.
	ReleaseCall
	// ProbeCall only asks whether the server answers.
	ProbeCall
)

// String returns the kind's name.
func (k CallKind) String() string {
	switch k {
	case GrantCall:
		return "grant"
	case ReleaseCall:
		return "release"
	}
	return "probe"
}

// Call is a call to make to a server.
type Call struct {
	Kind CallKind
	// Holder is the incarnation of the server that the call is meant for. One
	// that has started again meanwhile is reached in its place.
	Holder
	From uint16
	To   uint16
	// Handoff is what the last holder's release returned.
	Handoff string
}

// CallResult is how a call ended.
type CallResult int

// The results of calls.
const (
	// CallDone: the server answered and did it.
	CallDone CallResult = iota
	// CallStale: the server has seen a higher token.
	CallStale
	// CallUnanswered: the call may take effect, or may have.
	CallUnanswered
)

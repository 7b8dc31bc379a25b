package keyspace

// CallKind is the operation that a call requests from a server.
type CallKind int

// The kinds of calls.
const (
	// GrantCall grants or renews the keys.
	GrantCall CallKind = iota
	// ReleaseCall requests the release of the keys.
	ReleaseCall
	// ProbeCall only tests whether the server answers.
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
	// Holder is the incarnation that the call is meant for. If the server has restarted
	// meanwhile, the call reaches the later incarnation instead.
	Holder
	From uint16
	To   uint16
	// Handoff is the value returned by the last holder's release.
	Handoff string
}

// CallResult is how a call ended.
type CallResult int

// The results of calls.
const (
	// CallDone means that the server answered and did what was requested.
	CallDone CallResult = iota
	// CallStaleToken means that the server has seen a higher token.
	CallStaleToken
	// CallUnanswered means that the call may have taken effect or may still do so.
	CallUnanswered
)

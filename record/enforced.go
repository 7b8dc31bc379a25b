package record

import "encoding/json"

// Enforced reports which configuration version all daemons of a failure domain
// have applied. One controller of the domain writes it.
type Enforced struct {
	Domain string `json:"domain"`
	// Config is the highest version of an operator-written record that every
	// daemon of the domain has applied.
	Config  uint64 `json:"config"`
	Daemons int    `json:"daemons"`
	// Expected is the number of daemons according to the host list.
	Expected int `json:"expected"`
	// Lagging names some of the daemons that have not applied the newest version.
	Lagging []string `json:"lagging,omitempty"`
	// Reporter is the host that wrote the report.
	Reporter string `json:"reporter"`
}

// KindBurn holds the request counts that the error budget burn report is computed
// from, by failure domain and service.
const KindBurn Kind = "burn"

// WrittenByOperators reports whether records of the kind are configuration that operators
// write.
func (k Kind) WrittenByOperators() bool {
	return k == KindService || k == KindServer || k == KindLost
}

// Encode returns the report's record.
func (e Enforced) Encode() (Envelope, error) {
	spec, err := json.Marshal(e)
	return Envelope{Kind: KindEnforced, Name: e.Domain, Schema: SchemaV2, Spec: spec}, err
}

// DecodeEnforced decodes a report.
func DecodeEnforced(e Envelope) (Enforced, error) {
	var enforced Enforced
	if err := json.Unmarshal(e.Spec, &enforced); err != nil {
		return Enforced{}, specError(e, err)
	}
	return enforced, nil
}

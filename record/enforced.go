package record

import "encoding/json"

// Enforced is a failure domain's report on which configuration is in force in
// it. One controller of the domain writes it.
type Enforced struct {
	Domain string `json:"domain"`
	// Config is the newest version of an operator's record that every daemon of
	// the domain has in force.
	Config  uint64 `json:"config"`
	Daemons int    `json:"daemons"`
	// Expected is the number of daemons that the host list names.
	Expected int `json:"expected"`
	// Lagging names some daemons that are behind.
	Lagging []string `json:"lagging,omitempty"`
	// Reporter is the host that wrote the report.
	Reporter string `json:"reporter"`
}

// KindBurn holds the counts that the burn report is made from, by failure
// domain and service.
const KindBurn Kind = "burn"

// Operators reports whether records of the kind are operators' configuration.
func (k Kind) Operators() bool {
	return k == KindService || k == KindServer || k == KindLost
}

// Encode writes the report.
func (e Enforced) Encode() (Envelope, error) {
	spec, err := json.Marshal(e)
	return Envelope{Kind: KindEnforced, Name: e.Domain, Schema: SchemaV2, Spec: spec}, err
}

// DecodeEnforced reads a report.
func DecodeEnforced(e Envelope) (Enforced, error) {
	var enforced Enforced
	if err := json.Unmarshal(e.Spec, &enforced); err != nil {
		return Enforced{}, specError(e, err)
	}
	return enforced, nil
}

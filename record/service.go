package record

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// WhenCutOff is the policy for the keys of a failure domain that the other domains
// cannot reach.
type WhenCutOff string

// The choices of WhenCutOff.
const (
	// CutOffStay leaves the keys with the domain until an operator's record
	// declares the domain lost. The domain serves them without a time limit.
	CutOffStay WhenCutOff = "stay"
	// CutOffMove limits how long the domain may renew leases without access to
	// the store, so that another domain can take over the keys after that time.
	CutOffMove WhenCutOff = "move"
)

// Weigh is the cost that placement minimizes first.
type Weigh string

// The choices of Weigh.
const (
	WeighUnavailability Weigh = "unavailability"
	WeighChurn          Weigh = "churn"
)

// Fencing tells whether the backend servers of a service check fencing tokens.
type Fencing string

// The choices of Fencing.
const (
	FencingChecked   Fencing = "checked"
	FencingUnchecked Fencing = "unchecked"
)

// Objectives are the service-level objectives of a service.
type Objectives struct {
	// Availability is the fraction of requests that must succeed, in (0, 1).
	Availability float64 `json:"availability"`
	// LatencyMillis is the latency that LatencyShare of the requests must not exceed.
	LatencyMillis int `json:"latencyMillis"`
	// LatencyShare is the fraction of requests that LatencyMillis applies to, in
	// (0, 1).
	LatencyShare float64 `json:"latencyShare"`
}

// Service describes a service and the failure domains that serve it, in the
// newest schema (v2).
type Service struct {
	Name string `json:"-"`
	// Keyed is true where each key has one owning backend server.
	Keyed bool `json:"keyed"`
	// Domains lists the failure domains that share the key space.
	Domains []string `json:"domains"`
	// PagesPerDomain is the number of assignment pages of each domain.
	PagesPerDomain int `json:"pagesPerDomain"`
	// ShardsPerServer is the initial number of shards of a page per server.
	ShardsPerServer int        `json:"shardsPerServer"`
	WhenCutOff      WhenCutOff `json:"whenCutOff"`
	Weigh           Weigh      `json:"weigh"`
	Fencing         Fencing    `json:"fencing"`
	// WaitForOperator prevents a key of an unreachable owner that does not check
	// tokens from getting a new owner until an operator's record declares that
	// server lost.
	WaitForOperator bool `json:"waitForOperator"`
	// DeadlineMillis is the default deadline of a request and the longest one
	// that a request may set.
	DeadlineMillis int        `json:"deadlineMillis"`
	Objectives     Objectives `json:"objectives"`

	extra map[string]json.RawMessage
}

// serviceV1 is the v1 layout. It has boolean flags for the policies, a deadline in
// seconds, and an availability objective in percent, but no latency objective.
type serviceV1 struct {
	Keyed           bool     `json:"keyed"`
	Domains         []string `json:"domains"`
	Pages           int      `json:"pages"`
	ShardsPerServer int      `json:"shards"`
	Takeover        bool     `json:"takeover"`
	AvoidChurn      bool     `json:"avoidChurn"`
	ChecksTokens    bool     `json:"checksTokens"`
	DeadlineSeconds float64  `json:"deadlineSeconds"`
	Availability    float64  `json:"availabilityPercent"`
}

// v2OnlyKey is the field of a v1 spec that holds the settings that only v2 has, so
// that an edit by a v1 writer does not drop them.
const v2OnlyKey = "v2Only"

// v2Only is the part of a service that the v1 layout has no field for.
type v2Only struct {
	WaitForOperator bool    `json:"waitForOperator"`
	LatencyMillis   int     `json:"latencyMillis"`
	LatencyShare    float64 `json:"latencyShare"`
	// Availability is the exact fraction, because the percentage may be rounded.
	Availability float64 `json:"availability"`
}

// Defaults of optional fields of a service.
const (
	defaultPagesPerDomain  = 1
	defaultShardsPerServer = 8
	defaultDeadlineMillis  = 3000
	defaultAvailability    = 0.999
	defaultLatencyMillis   = 15
	defaultLatencyShare    = 0.99
)

// Limits of service fields.
const (
	maxPagesPerDomain  = 4096
	maxShardsPerServer = 256
	maxDeadlineMillis  = 60_000
)

// DecodeService decodes a service of either schema and checks it.
func DecodeService(e Envelope) (Service, error) {
	service := Service{Name: e.Name}
	var err error
	switch e.Schema {
	case SchemaV1:
		err = decodeServiceV1(e, &service)
	case SchemaV2:
		err = decodeServiceV2(e, &service)
	default:
		err = schemaError(e)
	}
	if err != nil {
		return Service{}, err
	}
	service.applyDefaults()
	return service, service.check()
}

func schemaError(e Envelope) error {
	return &FieldError{Record: e.Ref(), Field: "schema", Value: string(e.Schema), Fix: "use v1 or v2"}
}

func decodeServiceV2(e Envelope, service *Service) error {
	extra, err := decodeSpec(e, service)
	service.extra = extra
	return err
}

func decodeServiceV1(e Envelope, service *Service) error {
	var old serviceV1
	extra, err := decodeSpec(e, &old)
	if err != nil {
		return err
	}
	var v2Fields v2Only
	if raw, ok := extra[v2OnlyKey]; ok {
		if err := json.Unmarshal(raw, &v2Fields); err != nil {
			return &FieldError{Record: e.Ref(), Field: v2OnlyKey, Value: string(raw), Fix: err.Error()}
		}
		delete(extra, v2OnlyKey)
	}
	service.extra = extra
	service.Keyed = old.Keyed
	service.Domains = old.Domains
	service.PagesPerDomain = old.Pages
	service.ShardsPerServer = old.ShardsPerServer
	service.WhenCutOff = pick(old.Takeover, CutOffMove, CutOffStay)
	service.Weigh = pick(old.AvoidChurn, WeighChurn, WeighUnavailability)
	service.Fencing = pick(old.ChecksTokens, FencingChecked, FencingUnchecked)
	service.DeadlineMillis = int(old.DeadlineSeconds * float64(time.Second/time.Millisecond))
	service.Objectives.Availability = old.Availability / 100
	if v2Fields.Availability*100 == old.Availability {
		service.Objectives.Availability = v2Fields.Availability
	}
	service.WaitForOperator = v2Fields.WaitForOperator
	service.Objectives.LatencyMillis = v2Fields.LatencyMillis
	service.Objectives.LatencyShare = v2Fields.LatencyShare
	return nil
}

// Encode returns the service's record in the given schema. Unknown fields are
// written unchanged.
func (s Service) Encode(schema Schema) (Envelope, error) {
	envelope := Envelope{Kind: KindService, Name: s.Name, Schema: schema}
	var err error
	switch schema {
	case SchemaV1:
		envelope.Spec, err = s.encodeV1()
	case SchemaV2:
		envelope.Spec, err = encodeSpec(s, s.extra)
	default:
		err = schemaError(envelope)
	}
	return envelope, err
}

func (s Service) encodeV1() (json.RawMessage, error) {
	old := serviceV1{
		Keyed:           s.Keyed,
		Domains:         s.Domains,
		Pages:           s.PagesPerDomain,
		ShardsPerServer: s.ShardsPerServer,
		Takeover:        s.WhenCutOff == CutOffMove,
		AvoidChurn:      s.Weigh == WeighChurn,
		ChecksTokens:    s.Fencing == FencingChecked,
		DeadlineSeconds: float64(s.DeadlineMillis) / 1000,
		Availability:    s.Objectives.Availability * 100,
	}
	v2Fields, err := json.Marshal(v2Only{
		WaitForOperator: s.WaitForOperator,
		LatencyMillis:   s.Objectives.LatencyMillis,
		LatencyShare:    s.Objectives.LatencyShare,
		Availability:    s.Objectives.Availability,
	})
	if err != nil {
		return nil, err
	}
	extra := map[string]json.RawMessage{v2OnlyKey: v2Fields}
	for name, raw := range s.extra {
		extra[name] = raw
	}
	return encodeSpec(old, extra)
}

func (s *Service) applyDefaults() {
	s.PagesPerDomain = orDefault(s.PagesPerDomain, defaultPagesPerDomain)
	s.ShardsPerServer = orDefault(s.ShardsPerServer, defaultShardsPerServer)
	s.WhenCutOff = orDefault(s.WhenCutOff, CutOffStay)
	s.Weigh = orDefault(s.Weigh, WeighUnavailability)
	s.Fencing = orDefault(s.Fencing, FencingChecked)
	s.DeadlineMillis = orDefault(s.DeadlineMillis, defaultDeadlineMillis)
	s.Objectives.Availability = orDefault(s.Objectives.Availability, defaultAvailability)
	s.Objectives.LatencyMillis = orDefault(s.Objectives.LatencyMillis, defaultLatencyMillis)
	s.Objectives.LatencyShare = orDefault(s.Objectives.LatencyShare, defaultLatencyShare)
}

func (s Service) check() error {
	c := validator{ref: Ref{Kind: KindService, Name: s.Name}}
	c.require(ValidName(s.Name), "name", s.Name, nameFix)
	c.require(len(s.Domains) > 0, "domains", "[]", "name at least one failure domain")
	for _, domain := range s.Domains {
		c.require(ValidName(domain), "domains", domain, nameFix)
	}
	unique := slices.Compact(slices.Sorted(slices.Values(s.Domains)))
	c.require(len(unique) == len(s.Domains), "domains", fmt.Sprint(s.Domains), "name each failure domain once")
	c.require(inRange(s.PagesPerDomain, maxPagesPerDomain), "pagesPerDomain", fmt.Sprint(s.PagesPerDomain), "use 1 to 4096")
	c.require(inRange(s.ShardsPerServer, maxShardsPerServer), "shardsPerServer", fmt.Sprint(s.ShardsPerServer), "use 1 to 256")
	c.require(inRange(s.DeadlineMillis, maxDeadlineMillis), "deadlineMillis", fmt.Sprint(s.DeadlineMillis), "use 1 to 60000")
	c.require(s.WhenCutOff == CutOffStay || s.WhenCutOff == CutOffMove, "whenCutOff", string(s.WhenCutOff), "use stay or move")
	c.require(s.Weigh == WeighUnavailability || s.Weigh == WeighChurn, "weigh", string(s.Weigh), "use unavailability or churn")
	c.require(s.Fencing == FencingChecked || s.Fencing == FencingUnchecked, "fencing", string(s.Fencing), "use checked or unchecked")
	c.require(isFraction(s.Objectives.Availability), "objectives.availability", fmt.Sprint(s.Objectives.Availability), "use a fraction above 0 and below 1, such as 0.999")
	c.require(isFraction(s.Objectives.LatencyShare), "objectives.latencyShare", fmt.Sprint(s.Objectives.LatencyShare), "use a fraction above 0 and below 1, such as 0.99")
	c.require(s.Objectives.LatencyMillis > 0, "objectives.latencyMillis", fmt.Sprint(s.Objectives.LatencyMillis), "use at least 1")
	return c.err()
}

// Deadline returns the default and maximum deadline of a request.
func (s Service) Deadline() time.Duration {
	return time.Duration(s.DeadlineMillis) * time.Millisecond
}

func inRange(value, limit int) bool { return value >= 1 && value <= limit }

func isFraction(value float64) bool { return value > 0 && value < 1 }

func pick[T any](condition bool, yes, no T) T {
	if condition {
		return yes
	}
	return no
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

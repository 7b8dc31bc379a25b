package record

import (
	"encoding/json"
	"fmt"
	"net/netip"
)

// ServerState is the state that operators set for a backend server.
type ServerState string

// The choices of ServerState.
const (
	ServerActive  ServerState = "active"
	ServerLeaving ServerState = "leaving"
)

// Server describes one backend server. Both schemas share this layout.
type Server struct {
	Name    string `json:"-"`
	Service string `json:"service"`
	Domain  string `json:"domain"`
	// Address is an IP number and port.
	Address string `json:"address"`
	// Slots is the number of requests that the server runs concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that the server accepts.
	Connections int         `json:"connections"`
	State       ServerState `json:"state"`

	extra map[string]json.RawMessage
}

// DecodeServer decodes and checks a backend server's record.
func DecodeServer(e Envelope) (Server, error) {
	server := Server{Name: e.Name}
	if e.Schema != SchemaV1 && e.Schema != SchemaV2 {
		return Server{}, schemaError(e)
	}
	extra, err := decodeSpec(e, &server)
	if err != nil {
		return Server{}, err
	}
	server.extra = extra
	server.State = orDefault(server.State, ServerActive)
	return server, server.check()
}

// Encode returns the server's record in the given schema.
func (s Server) Encode(schema Schema) (Envelope, error) {
	spec, err := encodeSpec(s, s.extra)
	return Envelope{Kind: KindServer, Name: s.Name, Schema: schema, Spec: spec}, err
}

func (s Server) check() error {
	c := validator{ref: Ref{Kind: KindServer, Name: s.Name}}
	c.require(ValidName(s.Name), "name", s.Name, nameFix)
	c.require(ValidName(s.Service), "service", s.Service, "name the service record that this server belongs to")
	c.require(ValidName(s.Domain), "domain", s.Domain, "name the failure domain that this server runs in")
	_, err := netip.ParseAddrPort(s.Address)
	c.require(err == nil, "address", s.Address, "use an IP number and port, such as 127.0.0.1:9000")
	c.require(s.Slots >= 1, "slots", fmt.Sprint(s.Slots), "use at least 1: a server without slots cannot run requests")
	c.require(s.Connections >= s.Slots, "connections", fmt.Sprint(s.Connections), "allow at least as many connections as slots")
	c.require(s.State == ServerActive || s.State == ServerLeaving, "state", string(s.State), "use active or leaving")
	return c.err()
}

// LostScope is the type of the target that an operator has declared lost.
type LostScope string

// The choices of LostScope.
const (
	LostDomain LostScope = "domain"
	LostHost   LostScope = "host"
	LostServer LostScope = "server"
)

// Lost is an operator's declaration that a failure domain, host or server is
// permanently gone and will not return under the same name. It allows keys to get
// new owners where the system cannot prove that the old ones have released them.
type Lost struct {
	Name   string    `json:"-"`
	Scope  LostScope `json:"scope"`
	Target string    `json:"target"`
}

// DecodeLost decodes and checks a declaration of loss.
func DecodeLost(e Envelope) (Lost, error) {
	lost := Lost{Name: e.Name}
	if _, err := decodeSpec(e, &lost); err != nil {
		return Lost{}, err
	}
	c := validator{ref: e.Ref()}
	validScope := lost.Scope == LostDomain || lost.Scope == LostHost || lost.Scope == LostServer
	c.require(validScope, "scope", string(lost.Scope), "use domain, host or server")
	c.require(ValidName(lost.Target), "target", lost.Target, "use the name of the lost domain, host or server")
	return lost, c.err()
}

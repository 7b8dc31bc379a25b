package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"cicadarouter/contract/objects"
	"cicadarouter/gateway"
	"cicadarouter/keyspace"
	"cicadarouter/platform"
	"cicadarouter/revision"
	"cicadarouter/routing"
)

// hostedCommand shows the contents of a hosted platform's store.
type hostedCommand struct {
	globals *globals
	Metrics string `long:"metrics" value-name:"IP:PORT" description:"address of a host's metrics; shows by which fractions the host divides the capacity of services"`
}

// hostedState is the state of the gateways in a hosted platform's store.
type hostedState struct {
	Configuration uint64                   `json:"configuration"`
	Services      []hostedService          `json:"services"`
	Assignments   map[string]keyAssignment `json:"assignments"`
	// Evacuated describes what is left in each evacuated failure domain.
	Evacuated map[string]*hostedEvacuation `json:"evacuated,omitempty"`
	// Quarantines are the requests that are rejected because servers crashed while running
	// them, by the service whose controller stores them.
	Quarantines map[string]gateway.Quarantine `json:"quarantines,omitempty"`
	// Faults lists objects that can't be read.
	Faults []string `json:"faults,omitempty"`
}

// hostedEvacuation counts the servers and keys that an evacuated failure domain still
// has.
type hostedEvacuation struct {
	Revision uint64 `json:"revision"`
	Servers  int    `json:"servers"`
	// Keys is the number of keys that its servers own. Releasing is the number of keys
	// that the record assigns to another owner and that its servers have not released yet.
	Keys      int `json:"keys"`
	Releasing int `json:"releasing"`
}

type hostedService struct {
	Name     string `json:"name"`
	Keyed    bool   `json:"keyed"`
	Servers  int    `json:"servers"`
	Draining int    `json:"draining"`
	Slots    int    `json:"slots"`
	// DividedByPriority is set if the capacity is divided by priority: at the host whose metrics
	// were read, or else according to the configuration.
	DividedByPriority bool `json:"dividedByPriority"`
	// Shares are the fractions of new requests that the host admits, by priority. Limited counts
	// the overloaded keys and owners whose requests it limits.
	Shares  map[string]float64 `json:"shares,omitempty"`
	Limited map[string]float64 `json:"limited,omitempty"`
}

// keyAssignment describes which servers own the keys of a service.
type keyAssignment struct {
	Revision uint64          `json:"revision"`
	Record   keyspace.Record `json:"record"`
	// Moving is the number of keys that are being moved between owners.
	Moving int `json:"moving"`
	// KeysOf is the number of keys of each owner.
	KeysOf map[string]int `json:"keysOf"`
}

// Execute implements flags.Commander.
func (c *hostedCommand) Execute([]string) error {
	ctx, cancel := callContext()
	defer cancel()
	state, err := readHosted(ctx, platform.NewStore(c.globals.Store))
	if err != nil {
		return err
	}
	if c.Metrics != "" {
		page, err := readMetrics(ctx, c.Metrics)
		if err != nil {
			return err
		}
		state.addMetrics(page)
	}
	return c.globals.print(state, state.writeTable)
}

func readHosted(ctx context.Context, store objects.Store) (*hostedState, error) {
	registry := platform.Registry{}
	state := &hostedState{Assignments: map[string]keyAssignment{}, Evacuated: map[string]*hostedEvacuation{}, Quarantines: map[string]gateway.Quarantine{}}
	object, err := store.Get(ctx, registry.ConfigurationKind(), registry.ConfigurationName())
	if err != nil {
		return nil, eris.Wrap(err, "reading the configuration")
	}
	configuration, err := registry.DecodeConfiguration(object)
	if err != nil {
		return nil, eris.Wrap(err, "invalid configuration in the store")
	}
	state.Configuration = configuration.Version
	servers, err := store.List(ctx, registry.ServerKind())
	if err != nil {
		return nil, eris.Wrap(err, "listing the registry")
	}
	state.addServices(configuration, servers)
	records, err := store.List(ctx, gateway.Assignments)
	if err != nil {
		return nil, eris.Wrap(err, "listing the assignments")
	}
	for _, record := range records.Objects {
		state.addAssignment(record)
	}
	evacuations, err := store.List(ctx, registry.EvacuationKind())
	if err != nil {
		return nil, eris.Wrap(err, "listing the evacuations")
	}
	state.countEvacuations(evacuations, servers)
	quarantines, err := store.List(ctx, gateway.Quarantines)
	if err != nil {
		return nil, eris.Wrap(err, "listing the quarantines")
	}
	state.addQuarantines(quarantines)
	return state, nil
}

// addQuarantines adds the requests in quarantine.
func (s *hostedState) addQuarantines(listing objects.Listing) {
	for _, object := range listing.Objects {
		quarantine, err := gateway.ReadQuarantine(object.Spec)
		if err != nil {
			s.Faults = append(s.Faults, "quarantine "+object.Name+": "+err.Error())
			continue
		}
		s.Quarantines[object.Name] = quarantine
	}
}

// countEvacuations counts the servers and keys that evacuated domains still have.
func (s *hostedState) countEvacuations(evacuations, servers objects.Listing) {
	registry := platform.Registry{}
	for _, object := range evacuations.Objects {
		domain, err := registry.DecodeEvacuation(object)
		if err != nil {
			s.Faults = append(s.Faults, err.Error())
			continue
		}
		s.Evacuated[domain] = &hostedEvacuation{Revision: object.Revision}
	}
	byServer := map[string]*hostedEvacuation{} // by server
	for _, object := range servers.Objects {
		server, err := registry.DecodeServer(object)
		if evacuation := s.Evacuated[server.Domain]; err == nil && evacuation != nil {
			evacuation.Servers++
			byServer[server.ID] = evacuation
		}
	}
	for _, keys := range s.Assignments {
		countEvacuated(keys.Record.Ranges, byServer)
	}
}

// countEvacuated counts the keys that servers in evacuated domains still own or have yet
// to release. evacuations holds the evacuation of each such server.
func countEvacuated(ranges []keyspace.Range, evacuations map[string]*hostedEvacuation) {
	for i := range ranges {
		r := &ranges[i]
		n := int(r.To) - int(r.From) + 1
		if evacuation := evacuations[r.Server]; evacuation != nil {
			evacuation.Keys += n
		}
		for _, former := range r.FormerHolders {
			if evacuation := evacuations[former.Server]; evacuation != nil {
				evacuation.Releasing += n
			}
		}
	}
}

// addServices counts the servers of each service.
func (s *hostedState) addServices(configuration *routing.Configuration, listing objects.Listing) {
	byName := map[string]*hostedService{}
	for name, service := range configuration.Services {
		byName[name] = &hostedService{Name: name, Keyed: service.Keyed, DividedByPriority: configuration.DividedByPriority(name)}
	}
	for _, object := range listing.Objects {
		server, err := platform.Registry{}.DecodeServer(object)
		if err != nil {
			s.Faults = append(s.Faults, err.Error())
			continue
		}
		service := byName[server.Service]
		if service == nil {
			service = &hostedService{Name: server.Service}
			byName[server.Service] = service
		}
		service.Servers++
		service.Slots += server.Slots
		if server.Draining {
			service.Draining++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		s.Services = append(s.Services, *byName[name])
	}
}

// addAssignment adds the assignment of a service.
func (s *hostedState) addAssignment(object objects.Object) {
	keys := keyAssignment{Revision: object.Revision, KeysOf: map[string]int{}}
	if err := json.Unmarshal(object.Spec, &keys.Record); err != nil {
		s.Faults = append(s.Faults, "assignment "+object.Name+": "+err.Error())
		return
	}
	if err := keys.Record.Validate(); err != nil {
		s.Faults = append(s.Faults, "assignment "+object.Name+": "+err.Error())
	}
	for i := range keys.Record.Ranges {
		r := &keys.Record.Ranges[i]
		n := int(r.To) - int(r.From) + 1
		keys.KeysOf[r.Server] += n
		if r.Moving() {
			keys.Moving += n
		}
	}
	s.Assignments[object.Name] = keys
}

// writeTable writes the state as tables.
func (s *hostedState) writeTable(out io.Writer) {
	fmt.Fprintf(out, "configuration\t%d\n\nSERVICE\tKEYED\tSERVERS\tDRAINING\tSLOTS\tDIVIDED\tSHARES\n", s.Configuration)
	for _, service := range s.Services {
		fmt.Fprintf(out, "%s\t%t\t%d\t%d\t%d\t%t\t%s\n", service.Name, service.Keyed, service.Servers, service.Draining, service.Slots, service.DividedByPriority, service.shares())
	}
	for _, name := range slices.Sorted(maps.Keys(s.Assignments)) {
		keys := s.Assignments[name]
		controller := keys.Record.Controller
		fmt.Fprintf(out, "\n%s\tcontroller %s at %s, term %d, revision %d of era %d\n", name, controller.Host, controller.Address, keys.Record.Term,
			revision.Number(keys.Revision), revision.Era(keys.Revision))
		if !keys.Record.WrittenIn(revision.Era(keys.Revision)) {
			fmt.Fprintf(out, "\tnot written again since the store came back from a copy: owners may be others\n")
		}
		fmt.Fprintf(out, "\t%d ranges, %d keys between owners, resigned %t, earlier controllers not proven stopped: %d\n",
			len(keys.Record.Ranges), keys.Moving, controller.Resigned, len(keys.Record.Predecessors))
		for _, server := range slices.Sorted(maps.Keys(keys.KeysOf)) {
			fmt.Fprintf(out, "\t%s\t%d keys\n", server, keys.KeysOf[server])
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(s.Evacuated)) {
		evacuation := s.Evacuated[domain]
		fmt.Fprintf(out, "\nevacuated %s\trevision %d, %d servers, %d keys left, %d keys being released\n", domain, revision.Number(evacuation.Revision), evacuation.Servers, evacuation.Keys, evacuation.Releasing)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Quarantines)) {
		for _, each := range s.Quarantines[name].Cases {
			fmt.Fprintf(out, "\nquarantined %s\tkept with %s, %d servers ended under it\n", each.Request, name, len(each.Ends))
			for _, end := range each.Ends {
				fmt.Fprintf(out, "\t%s\t%s\n", end.Server, time.UnixMilli(end.AtMs).UTC().Format(time.RFC3339))
			}
		}
	}
	for _, fault := range s.Faults {
		fmt.Fprintf(out, "\nFAULT\t%s\n", fault)
	}
}

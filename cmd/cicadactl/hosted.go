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

// hostedCommand shows what lies in the store of a hosted platform.
type hostedCommand struct {
	globals *globals
}

// hostedState is what the store of a hosted platform holds for the gateways.
type hostedState struct {
	Configuration uint64                `json:"configuration"`
	Services      []hostedService       `json:"services"`
	Assignments   map[string]hostedKeys `json:"assignments"`
	// Evacuated tells of each evacuated failure domain what is left there.
	Evacuated map[string]*hostedEvacuation `json:"evacuated,omitempty"`
	// Quarantines are the requests that are turned away since every server that ran them
	// ended, by the service whose controller keeps them.
	Quarantines map[string]gateway.Quarantine `json:"quarantines,omitempty"`
	// Faults lists objects that can't be read.
	Faults []string `json:"faults,omitempty"`
}

// hostedEvacuation is what an evacuated failure domain still holds.
type hostedEvacuation struct {
	Revision uint64 `json:"revision"`
	Servers  int    `json:"servers"`
	// Keys is the number of keys that its servers still own, Releasing of those that
	// have passed on in the record and wait until its servers release them.
	Keys      int `json:"keys"`
	Releasing int `json:"releasing"`
}

type hostedService struct {
	Name     string `json:"name"`
	Keyed    bool   `json:"keyed"`
	Servers  int    `json:"servers"`
	Draining int    `json:"draining"`
	Slots    int    `json:"slots"`
}

// hostedKeys is who owns a service's keys.
type hostedKeys struct {
	Revision uint64          `json:"revision"`
	Record   keyspace.Record `json:"record"`
	// Moving is the number of keys between owners.
	Moving int `json:"moving"`
	// KeysOf is the number of keys by owner.
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
	return c.globals.print(state, state.table)
}

func readHosted(ctx context.Context, store objects.Store) (*hostedState, error) {
	registry := platform.Registry{}
	state := &hostedState{Assignments: map[string]hostedKeys{}, Evacuated: map[string]*hostedEvacuation{}, Quarantines: map[string]gateway.Quarantine{}}
	object, err := store.Get(ctx, registry.ConfigurationKind(), registry.ConfigurationName())
	if err != nil {
		return nil, eris.Wrap(err, "reading the configuration")
	}
	configuration, err := registry.DecodeConfiguration(object)
	if err != nil {
		return nil, eris.Wrap(err, "the configuration in the store is not valid")
	}
	state.Configuration = configuration.Version
	servers, err := store.List(ctx, registry.ServerKind())
	if err != nil {
		return nil, eris.Wrap(err, "reading the registry")
	}
	state.count(configuration, servers)
	records, err := store.List(ctx, gateway.Assignments)
	if err != nil {
		return nil, eris.Wrap(err, "reading the assignments")
	}
	for _, record := range records.Objects {
		state.add(record)
	}
	evacuations, err := store.List(ctx, registry.EvacuationKind())
	if err != nil {
		return nil, eris.Wrap(err, "reading the evacuations")
	}
	state.evacuate(evacuations, servers)
	quarantines, err := store.List(ctx, gateway.Quarantines)
	if err != nil {
		return nil, eris.Wrap(err, "reading the quarantines")
	}
	state.quarantine(quarantines)
	return state, nil
}

// quarantine takes the requests in quarantine.
func (s *hostedState) quarantine(listing objects.Listing) {
	for _, object := range listing.Objects {
		kept, err := gateway.ReadQuarantine(object.Spec)
		if err != nil {
			s.Faults = append(s.Faults, "quarantine "+object.Name+": "+err.Error())
			continue
		}
		s.Quarantines[object.Name] = kept
	}
}

// evacuate counts what the evacuated domains still hold.
func (s *hostedState) evacuate(evacuations, servers objects.Listing) {
	registry := platform.Registry{}
	for _, object := range evacuations.Objects {
		domain, err := registry.DecodeEvacuation(object)
		if err != nil {
			s.Faults = append(s.Faults, err.Error())
			continue
		}
		s.Evacuated[domain] = &hostedEvacuation{Revision: object.Revision}
	}
	within := map[string]*hostedEvacuation{} // by server
	for _, object := range servers.Objects {
		server, err := registry.DecodeServer(object)
		if evacuation := s.Evacuated[server.Domain]; err == nil && evacuation != nil {
			evacuation.Servers++
			within[server.ID] = evacuation
		}
	}
	for _, keys := range s.Assignments {
		countEvacuated(keys.Record.Ranges, within)
	}
}

// countEvacuated counts the keys that evacuated servers still own or have to release.
// within is the evacuation that each server is subject to.
func countEvacuated(ranges []keyspace.Range, within map[string]*hostedEvacuation) {
	for i := range ranges {
		r := &ranges[i]
		n := int(r.To) - int(r.From) + 1
		if evacuation := within[r.Server]; evacuation != nil {
			evacuation.Keys += n
		}
		for _, former := range r.FormerHolders {
			if evacuation := within[former.Server]; evacuation != nil {
				evacuation.Releasing += n
			}
		}
	}
}

func (s *hostedState) count(configuration *routing.Configuration, listing objects.Listing) {
	byName := map[string]*hostedService{}
	for name, service := range configuration.Services {
		byName[name] = &hostedService{Name: name, Keyed: service.Keyed}
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

func (s *hostedState) add(object objects.Object) {
	keys := hostedKeys{Revision: object.Revision, KeysOf: map[string]int{}}
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

// table writes the state for people.
func (s *hostedState) table(out io.Writer) {
	fmt.Fprintf(out, "configuration\t%d\n\nSERVICE\tKEYED\tSERVERS\tDRAINING\tSLOTS\n", s.Configuration)
	for _, service := range s.Services {
		fmt.Fprintf(out, "%s\t%t\t%d\t%d\t%d\n", service.Name, service.Keyed, service.Servers, service.Draining, service.Slots)
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
		left := s.Evacuated[domain]
		fmt.Fprintf(out, "\nevacuated %s\trevision %d, %d servers, %d keys left, %d keys being released\n", domain, revision.Number(left.Revision), left.Servers, left.Keys, left.Releasing)
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

package operator

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"cicadarouter/contract/platform"
	"cicadarouter/record"
)

// Check checks documents one by one and against each other and the records that
// exist. It returns a *record.CheckError with everything that is wrong, and
// warnings about what is allowed but rarely meant.
func Check(documents []Document, existing []platform.Object) (warnings []string, err error) {
	found := &findings{}
	for _, document := range documents {
		found.add(decode(document))
	}
	found.duplicates(documents)
	if len(found.fields) > 0 {
		return nil, &record.ValidationError{Fields: found.fields}
	}
	world := worldAfter(documents, existing)
	found.servers(world)
	found.immutable(documents, existing)
	if len(found.fields) > 0 {
		return nil, &record.ValidationError{Fields: found.fields}
	}
	return found.warnings(world), nil
}

// world is what the records will say once the documents are applied.
type world struct {
	services map[string]record.Service
	servers  map[string]record.Server
}

func worldAfter(documents []Document, existing []platform.Object) world {
	after := world{services: map[string]record.Service{}, servers: map[string]record.Server{}}
	for _, object := range existing {
		after.put(object.Envelope)
	}
	for _, document := range documents {
		after.put(document.Envelope)
	}
	return after
}

func (w world) put(envelope record.Envelope) {
	switch envelope.Kind {
	case record.KindService:
		if service, err := record.DecodeService(envelope); err == nil {
			w.services[envelope.Name] = service
		}
	case record.KindServer:
		if server, err := record.DecodeServer(envelope); err == nil {
			w.servers[envelope.Name] = server
		}
	}
}

// findings gathers what is wrong.
type findings struct{ fields []*record.FieldError }

func (f *findings) add(err error) {
	var field *record.FieldError
	var check *record.ValidationError
	switch {
	case errors.As(err, &check):
		f.fields = append(f.fields, check.Fields...)
	case errors.As(err, &field):
		f.fields = append(f.fields, field)
	}
}

func (f *findings) wrong(ref record.Ref, field, value, fix string) {
	f.fields = append(f.fields, &record.FieldError{Record: ref, Field: field, Value: value, Fix: fix})
}

func (f *findings) duplicates(documents []Document) {
	seen := map[record.Ref]bool{}
	for _, document := range documents {
		if seen[document.Ref()] {
			f.wrong(document.Ref(), "name", document.Name, "give each record once")
		}
		seen[document.Ref()] = true
	}
}

// servers checks what spans records: each server's service and domain exist
// and no two servers share an address.
func (f *findings) servers(after world) {
	byAddress := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(after.servers)) {
		server := after.servers[name]
		ref := record.Ref{Kind: record.KindServer, Name: name}
		service, known := after.services[server.Service]
		if !known {
			f.wrong(ref, "service", server.Service, "create the service's record first, or name one that exists")
			continue
		}
		if !slices.Contains(service.Domains, server.Domain) {
			f.wrong(ref, "domain", server.Domain, fmt.Sprintf("use a failure domain of service %s: %v", server.Service, service.Domains))
		}
		if other, taken := byAddress[server.Address]; taken {
			f.wrong(ref, "address", server.Address, "is the address of server "+other+" too; give each server its own")
		}
		byAddress[server.Address] = name
	}
}

// immutable refuses changes that would move the borders of pages that exist.
func (f *findings) immutable(documents []Document, existing []platform.Object) {
	before := worldAfter(nil, existing)
	after := worldAfter(documents, existing)
	f.stays(before, after)
	for name, old := range before.services {
		fresh := after.services[name]
		ref := record.Ref{Kind: record.KindService, Name: name}
		const fix = "cannot change once the service exists; make a new service and move callers over"
		if !slices.Equal(old.Domains, fresh.Domains) {
			f.wrong(ref, "domains", fmt.Sprint(fresh.Domains), fix)
		}
		if old.PagesPerDomain != fresh.PagesPerDomain {
			f.wrong(ref, "pagesPerDomain", fmt.Sprint(fresh.PagesPerDomain), fix)
		}
		if old.Keyed != fresh.Keyed {
			f.wrong(ref, "keyed", fmt.Sprint(fresh.Keyed), fix)
		}
		if old.WhenCutOff != fresh.WhenCutOff {
			f.wrong(ref, "whenCutOff", string(fresh.WhenCutOff), fix)
		}
	}
}

// stays refuses to take a server to another service or failure domain under its
// name: routers of the old domain do not hear of other domains' servers, and
// would go on believing in the old record.
func (f *findings) stays(before, after world) {
	for name, old := range before.servers {
		fresh := after.servers[name]
		ref := record.Ref{Kind: record.KindServer, Name: name}
		const fix = "cannot change; delete the record and make one with a new name"
		if old.Service != fresh.Service {
			f.wrong(ref, "service", fresh.Service, fix)
		}
		if old.Domain != fresh.Domain {
			f.wrong(ref, "domain", fresh.Domain, fix)
		}
	}
}

// warnings tells of services that nothing can serve.
func (f *findings) warnings(after world) []string {
	count := map[string]int{}
	for _, server := range after.servers {
		count[server.Service+"/"+server.Domain]++
	}
	var told []string
	for _, name := range slices.Sorted(maps.Keys(after.services)) {
		for _, domain := range after.services[name].Domains {
			if count[name+"/"+domain] == 0 {
				told = append(told, fmt.Sprintf("service/%s: failure domain %s has no backend server, so its keys cannot be served", name, domain))
			}
		}
	}
	return told
}

package operator

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"cicadarouter/contract/platform"
	"cicadarouter/record"
)

// Check checks each document by itself, then all documents together with the existing
// records. It returns a *record.ValidationError with all errors of the first of these steps
// that finds any, and warnings about records that are valid but probably not intended.
func Check(documents []Document, existing []platform.Object) (warnings []string, err error) {
	found := &fieldErrors{}
	for _, document := range documents {
		found.add(checkDocument(document))
	}
	found.checkDuplicates(documents)
	if len(found.errors) > 0 {
		return nil, &record.ValidationError{Fields: found.errors}
	}
	records := recordsAfter(documents, existing)
	found.checkServers(records)
	found.checkImmutableFields(documents, existing)
	if len(found.errors) > 0 {
		return nil, &record.ValidationError{Fields: found.errors}
	}
	return found.emptyDomainWarnings(records), nil
}

// recordSet holds the services and servers as they are once documents are applied to the
// existing records. Records that can't be decoded are left out.
type recordSet struct {
	services map[string]record.Service
	servers  map[string]record.Server
}

// recordsAfter applies documents to the existing records.
func recordsAfter(documents []Document, existing []platform.Object) recordSet {
	result := recordSet{services: map[string]record.Service{}, servers: map[string]record.Server{}}
	for _, object := range existing {
		result.add(object.Envelope)
	}
	for _, document := range documents {
		result.add(document.Envelope)
	}
	return result
}

func (r recordSet) add(envelope record.Envelope) {
	switch envelope.Kind {
	case record.KindService:
		if service, err := record.DecodeService(envelope); err == nil {
			r.services[envelope.Name] = service
		}
	case record.KindServer:
		if server, err := record.DecodeServer(envelope); err == nil {
			r.servers[envelope.Name] = server
		}
	}
}

// fieldErrors collects the errors that a check finds.
type fieldErrors struct{ errors []*record.FieldError }

func (f *fieldErrors) add(err error) {
	var field *record.FieldError
	var check *record.ValidationError
	switch {
	case errors.As(err, &check):
		f.errors = append(f.errors, check.Fields...)
	case errors.As(err, &field):
		f.errors = append(f.errors, field)
	}
}

func (f *fieldErrors) addField(ref record.Ref, field, value, fix string) {
	f.errors = append(f.errors, &record.FieldError{Record: ref, Field: field, Value: value, Fix: fix})
}

func (f *fieldErrors) checkDuplicates(documents []Document) {
	seen := map[record.Ref]bool{}
	for _, document := range documents {
		if seen[document.Ref()] {
			f.addField(document.Ref(), "name", document.Name, "appears more than once; list each record once")
		}
		seen[document.Ref()] = true
	}
}

// checkServers checks the rules that involve several records: each server's service exists,
// the service has the server's failure domain, and no two servers share an address.
func (f *fieldErrors) checkServers(after recordSet) {
	byAddress := map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(after.servers)) {
		server := after.servers[name]
		ref := record.Ref{Kind: record.KindServer, Name: name}
		service, exists := after.services[server.Service]
		if !exists {
			f.addField(ref, "service", server.Service, "no such service; create the service's record first")
			continue
		}
		if !slices.Contains(service.Domains, server.Domain) {
			f.addField(ref, "domain", server.Domain, fmt.Sprintf("must be a failure domain of service %s: %v", server.Service, service.Domains))
		}
		if other, taken := byAddress[server.Address]; taken {
			f.addField(ref, "address", server.Address, "is also the address of server "+other+"; each server needs its own")
		}
		byAddress[server.Address] = name
	}
}

// checkImmutableFields reports changes of fields that can't change once a record exists: the
// fields of a service that determine its pages and the handling of its keys, and the
// service and failure domain of a server.
func (f *fieldErrors) checkImmutableFields(documents []Document, existing []platform.Object) {
	before := recordsAfter(nil, existing)
	after := recordsAfter(documents, existing)
	f.checkServersStay(before, after)
	for name, oldService := range before.services {
		newService := after.services[name]
		ref := record.Ref{Kind: record.KindService, Name: name}
		const fix = "cannot change once the service exists; create a new service and move its callers"
		if !slices.Equal(oldService.Domains, newService.Domains) {
			f.addField(ref, "domains", fmt.Sprint(newService.Domains), fix)
		}
		if oldService.PagesPerDomain != newService.PagesPerDomain {
			f.addField(ref, "pagesPerDomain", fmt.Sprint(newService.PagesPerDomain), fix)
		}
		if oldService.Keyed != newService.Keyed {
			f.addField(ref, "keyed", fmt.Sprint(newService.Keyed), fix)
		}
		if oldService.WhenCutOff != newService.WhenCutOff {
			f.addField(ref, "whenCutOff", string(newService.WhenCutOff), fix)
		}
	}
}

// checkServersStay reports servers that change their service or failure domain and keep their
// name. Routers receive the servers of their own domain only: those of the old domain
// would not learn of the change and would continue to use the old record.
func (f *fieldErrors) checkServersStay(before, after recordSet) {
	for name, oldServer := range before.servers {
		newServer := after.servers[name]
		ref := record.Ref{Kind: record.KindServer, Name: name}
		const fix = "cannot change; delete the record and create one with a new name"
		if oldServer.Service != newServer.Service {
			f.addField(ref, "service", newServer.Service, fix)
		}
		if oldServer.Domain != newServer.Domain {
			f.addField(ref, "domain", newServer.Domain, fix)
		}
	}
}

// emptyDomainWarnings returns a warning for each failure domain in which a service has no server.
func (f *fieldErrors) emptyDomainWarnings(after recordSet) []string {
	count := map[string]int{}
	for _, server := range after.servers {
		count[server.Service+"/"+server.Domain]++
	}
	var warnings []string
	for _, name := range slices.Sorted(maps.Keys(after.services)) {
		for _, domain := range after.services[name].Domains {
			if count[name+"/"+domain] == 0 {
				warnings = append(warnings, fmt.Sprintf("service/%s: failure domain %s has no backend server, so its keys cannot be served", name, domain))
			}
		}
	}
	return warnings
}

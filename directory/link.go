package directory

import (
	"cicadarouter/contract/platform"
	"cicadarouter/link/linkpb"
	"cicadarouter/record"
)

// UpdateToLink converts a delta to its link message.
func UpdateToLink(delta Delta) *linkpb.RecordsUpdate {
	update := &linkpb.RecordsUpdate{Revision: delta.Revision, HostsChanged: delta.HostsChanged}
	for _, object := range delta.Objects {
		update.Records = append(update.Records, &linkpb.Record{
			Kind:    string(object.Kind),
			Name:    object.Name,
			Schema:  string(object.Schema),
			Spec:    object.Spec,
			Version: object.Version,
			Deleted: object.Deleted,
		})
	}
	for _, host := range delta.Hosts {
		update.Hosts = append(update.Hosts, &linkpb.Host{
			Name:       host.Name,
			Domain:     host.Domain,
			Link:       host.Link,
			RouterLink: host.RouterLink,
			Leaving:    host.Leaving,
		})
	}
	for page, host := range delta.Dispatchers {
		update.Dispatchers = append(update.Dispatchers, &linkpb.Dispatcher{Page: page, Host: host})
	}
	return update
}

// ObjectsFromLink converts records from their link messages.
func ObjectsFromLink(records []*linkpb.Record) []platform.Object {
	objects := make([]platform.Object, 0, len(records))
	for _, in := range records {
		objects = append(objects, platform.Object{
			Envelope: record.Envelope{
				Kind:   record.Kind(in.GetKind()),
				Name:   in.GetName(),
				Schema: record.Schema(in.GetSchema()),
				Spec:   in.GetSpec(),
			},
			Version: in.GetVersion(),
			Deleted: in.GetDeleted(),
		})
	}
	return objects
}

func hostsFromLink(in []*linkpb.Host) []platform.Host {
	hosts := make([]platform.Host, 0, len(in))
	for _, host := range in {
		hosts = append(hosts, platform.Host{
			Name:       host.GetName(),
			Domain:     host.GetDomain(),
			Link:       host.GetLink(),
			RouterLink: host.GetRouterLink(),
			Leaving:    host.GetLeaving(),
		})
	}
	return hosts
}

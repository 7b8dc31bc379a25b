package operator

import (
	"fmt"

	"cicadarouter/record"
)

// Convert rewrites a record in another schema version without loss.
func Convert(envelope record.Envelope, schema record.Schema) (record.Envelope, error) {
	switch envelope.Kind {
	case record.KindService:
		service, err := record.DecodeService(envelope)
		if err != nil {
			return record.Envelope{}, err
		}
		return service.Encode(schema)
	case record.KindServer:
		server, err := record.DecodeServer(envelope)
		if err != nil {
			return record.Envelope{}, err
		}
		return server.Encode(schema)
	}
	return record.Envelope{}, &record.FieldError{Record: envelope.Ref(), Field: "schema", Value: string(schema),
		Fix: "only services and servers have more than one schema version"}
}

// Summary describes a record in one line. It is empty for kinds that have no summary.
func Summary(envelope record.Envelope) string {
	switch envelope.Kind {
	case record.KindService:
		service, err := record.DecodeService(envelope)
		if err != nil {
			return "invalid: " + err.Error()
		}
		return fmt.Sprintf("keyed=%t domains=%v weigh=%s when-cut-off=%s", service.Keyed, service.Domains, service.Weigh, service.WhenCutOff)
	case record.KindServer:
		server, err := record.DecodeServer(envelope)
		if err != nil {
			return "invalid: " + err.Error()
		}
		return fmt.Sprintf("service=%s domain=%s address=%s slots=%d %s", server.Service, server.Domain, server.Address, server.Slots, server.State)
	case record.KindPage:
		page, err := record.DecodePage(envelope)
		if err != nil {
			return "invalid: " + err.Error()
		}
		return pageSummary(page)
	case record.KindLost:
		lost, err := record.DecodeLost(envelope)
		if err != nil {
			return "invalid: " + err.Error()
		}
		return fmt.Sprintf("%s %s is lost", lost.Scope, lost.Target)
	}
	return ""
}

func pageSummary(page record.Page) string {
	unowned := 0
	for _, shard := range page.Shards {
		if !shard.Grantable() {
			unowned++
		}
	}
	return fmt.Sprintf("home=%s generation=%d group=%v shards=%d unowned=%d", page.Home, page.Generation, page.Group, len(page.Shards), unowned)
}

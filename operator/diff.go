package operator

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"cicadarouter/record"
)

// Diff lists the differences that lead from one record to another, by field.
// Both are compared as the newest schema reads them, so that a record in an old
// schema equals its conversion.
func Diff(from, to record.Envelope) []string {
	before := flatten(from)
	after := flatten(to)
	names := slices.Sorted(maps.Keys(before))
	for name := range after {
		if _, known := before[name]; !known {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var lines []string
	for _, name := range names {
		old, had := before[name]
		fresh, has := after[name]
		switch {
		case !had:
			lines = append(lines, fmt.Sprintf("+ %s: %v", name, show(fresh)))
		case !has:
			lines = append(lines, fmt.Sprintf("- %s: %v", name, show(old)))
		case !reflect.DeepEqual(old, fresh):
			lines = append(lines, fmt.Sprintf("~ %s: %v -> %v", name, show(old), show(fresh)))
		}
	}
	return lines
}

// flatten returns the fields of a record in the newest schema, without the ids
// of writes.
func flatten(envelope record.Envelope) map[string]any {
	schema := envelope.Schema
	normal := envelope
	switch envelope.Kind {
	case record.KindService:
		if service, err := record.DecodeService(envelope); err == nil {
			normal, _ = service.Encode(record.SchemaV2)
		}
	case record.KindServer:
		if server, err := record.DecodeServer(envelope); err == nil {
			normal, _ = server.Encode(record.SchemaV2)
		}
	}
	fields := map[string]any{}
	_ = json.Unmarshal(normal.Spec, &fields)
	delete(fields, attemptField)
	fields["(schema)"] = string(schema)
	return fields
}

func show(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}

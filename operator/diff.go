package operator

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"cicadarouter/record"
)

// Diff lists the fields that differ between two records. Both are converted to the
// newest schema first, so that the fields of a record in an old schema equal those of
// its conversion; the schema version itself is compared as the field "(schema)".
func Diff(from, to record.Envelope) []string {
	before := flatten(from)
	after := flatten(to)
	names := slices.Sorted(maps.Keys(before))
	for name := range after {
		if _, inOld := before[name]; !inOld {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var lines []string
	for _, name := range names {
		oldValue, inOld := before[name]
		newValue, inNew := after[name]
		switch {
		case !inOld:
			lines = append(lines, fmt.Sprintf("+ %s: %v", name, formatValue(newValue)))
		case !inNew:
			lines = append(lines, fmt.Sprintf("- %s: %v", name, formatValue(oldValue)))
		case !reflect.DeepEqual(oldValue, newValue):
			lines = append(lines, fmt.Sprintf("~ %s: %v -> %v", name, formatValue(oldValue), formatValue(newValue)))
		}
	}
	return lines
}

// flatten returns the fields of a record in the newest schema, without the ID of the
// last write.
func flatten(envelope record.Envelope) map[string]any {
	schema := envelope.Schema
	converted := envelope
	switch envelope.Kind {
	case record.KindService:
		if service, err := record.DecodeService(envelope); err == nil {
			converted, _ = service.Encode(record.SchemaV2)
		}
	case record.KindServer:
		if server, err := record.DecodeServer(envelope); err == nil {
			converted, _ = server.Encode(record.SchemaV2)
		}
	}
	fields := map[string]any{}
	_ = json.Unmarshal(converted.Spec, &fields)
	delete(fields, writeIDField)
	fields["(schema)"] = string(schema)
	return fields
}

func formatValue(value any) string {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(text)
}

package record

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
)

// decodeSpec decodes the envelope's spec into target and returns the fields that
// target does not define.
func decodeSpec(e Envelope, target any) (map[string]json.RawMessage, error) {
	spec := e.Spec
	if len(bytes.TrimSpace(spec)) == 0 {
		spec = []byte("{}")
	}
	if err := json.Unmarshal(spec, target); err != nil {
		return nil, specError(e, err)
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(spec, &all); err != nil {
		return nil, specError(e, err)
	}
	for _, name := range jsonNames(target) {
		delete(all, name)
	}
	return all, nil
}

func specError(e Envelope, err error) error {
	field := "spec"
	if typed, ok := err.(*json.UnmarshalTypeError); ok && typed.Field != "" {
		field = typed.Field
	}
	return &FieldError{Record: e.Ref(), Field: field, Value: truncate(string(e.Spec)), Fix: err.Error()}
}

const maxQuotedValueLength = 120

func truncate(value string) string {
	if len(value) <= maxQuotedValueLength {
		return value
	}
	return value[:maxQuotedValueLength] + "..."
}

// encodeSpec encodes the fields of value together with the extra fields. On a name
// clash the field of value wins.
func encodeSpec(value any, extra map[string]json.RawMessage) (json.RawMessage, error) {
	known, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	if len(extra) == 0 {
		return known, nil
	}
	all := map[string]json.RawMessage{}
	if err := json.Unmarshal(known, &all); err != nil {
		return nil, err
	}
	for name, raw := range extra {
		if _, exists := all[name]; !exists {
			all[name] = raw
		}
	}
	return json.Marshal(all)
}

// jsonNames lists the JSON names of the fields of a struct pointer.
func jsonNames(target any) []string {
	structType := reflect.TypeOf(target).Elem()
	var names []string
	for i := range structType.NumField() {
		name, _, _ := strings.Cut(structType.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			names = append(names, name)
		}
	}
	return names
}

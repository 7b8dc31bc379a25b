// Package nesting bounds how deeply JSON documents of other writers are nested. encoding/json refuses a
// document of more than 10,000 levels as a whole, so one object would make a list of all unreadable.
package nesting

import "encoding/json"

const (
	// maxSpecLevels is how many levels deep the spec of a readable object may be nested. The documents of
	// this system have fewer than twenty.
	maxSpecLevels = 1000
	// maxResponseLevels leaves room for what a response has around its specs.
	maxResponseLevels = maxSpecLevels + 100
)

// unreadableSpec stands in for a spec that is nested too deeply. No document has this form, so whoever
// decodes it reports an error that quotes it.
var unreadableSpec = json.RawMessage(`["the spec was nested too deeply"]`)

// Readable returns a spec, or one that no decoder accepts if it is nested too deeply.
func Readable(spec json.RawMessage) json.RawMessage {
	if len(spec) <= maxSpecLevels {
		return spec // too short to be nested more deeply
	}
	if _, cut := limit(spec, maxSpecLevels); cut {
		return unreadableSpec
	}
	return spec
}

// Unmarshal decodes a response that holds specs. Values that are nested too deeply are null; Readable tells
// the specs that hold one.
func Unmarshal(data []byte, into any) error {
	err := json.Unmarshal(data, into)
	if err == nil {
		return nil
	}
	limited, cut := limit(data, maxResponseLevels)
	if !cut {
		return err
	}
	return json.Unmarshal(limited, into)
}

// limit returns a JSON document in which null takes the place of each array and object that is
// nested more than the given number of levels deep. cut is set if there was one. It neither recurses nor
// checks the document.
func limit(document []byte, levels int) (limited []byte, cut bool) {
	depth, from := 0, 0 // from is where the bytes begin that have not been copied to limited
	inString, escaped := false, false
	for i, char := range document {
		switch {
		case inString:
			inString = char != '"' || escaped
			escaped = char == '\\' && !escaped
		case char == '"':
			inString = true
		case char == '[' || char == '{':
			depth++
			if depth == levels+1 {
				limited = append(append(limited, document[from:i]...), "null"...)
				cut, from = true, len(document) // the value may have no end
			}
		case char == ']' || char == '}':
			if depth == levels+1 {
				from = i + 1
			}
			depth--
		}
	}
	if !cut {
		return document, false
	}
	return append(limited, document[from:]...), true
}

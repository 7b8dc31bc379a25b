// Package operator implements the operators' actions on records: checking them,
// comparing them with the stored records, and writing them without overwriting
// another operator's change.
package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"cicadarouter/record"
)

// Document is a record in an operator's input. Version is the stored version on
// which the edit is based, as printed by "get", or 0 for a new record.
type Document struct {
	record.Envelope
	Version uint64 `json:"version,omitempty"`
}

// ReadError reports input that is not a stream of JSON records.
type ReadError struct {
	Source string
	Offset int64
	Cause  error
}

// Error implements error.
func (e *ReadError) Error() string {
	return fmt.Sprintf("%s, near byte %d: %v", e.Source, e.Offset, e.Cause)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// ReadDocuments reads JSON records, one after another or in arrays.
func ReadDocuments(source string, in io.Reader) ([]Document, error) {
	decoder := json.NewDecoder(in)
	var documents []Document
	for {
		var raw json.RawMessage
		err := decoder.Decode(&raw)
		if errors.Is(err, io.EOF) {
			return documents, nil
		}
		if err != nil {
			return nil, &ReadError{Source: source, Offset: decoder.InputOffset(), Cause: err}
		}
		read, err := readValue(raw)
		if err != nil {
			return nil, &ReadError{Source: source, Offset: decoder.InputOffset(), Cause: err}
		}
		documents = append(documents, read...)
	}
}

func readValue(raw json.RawMessage) ([]Document, error) {
	if bytes.HasPrefix(raw, []byte("[")) {
		var documents []Document
		err := json.Unmarshal(raw, &documents)
		return documents, err
	}
	var document Document
	err := json.Unmarshal(raw, &document)
	return []Document{document}, err
}

// checkDocument checks that a document is a valid record of its kind. It accepts only the
// kinds that operators write.
func checkDocument(document Document) error {
	var err error
	switch document.Kind {
	case record.KindService:
		_, err = record.DecodeService(document.Envelope)
	case record.KindServer:
		_, err = record.DecodeServer(document.Envelope)
	case record.KindLost:
		_, err = record.DecodeLost(document.Envelope)
	default:
		err = &record.FieldError{Record: document.Ref(), Field: "kind", Value: string(document.Kind),
			Fix: "must be service, server or lost; other kinds are written by controllers only"}
	}
	return err
}

package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"cicadarouter/contract/platform"
	"cicadarouter/record"
)

// Client reads and writes operators' records in the platform's store.
type Client struct{ store platform.Store }

// NewClient returns a client of a store.
func NewClient(store platform.Store) *Client { return &Client{store: store} }

// Action is what Apply did, or in a dry run would do, to one record.
type Action string

const (
	Created   Action = "created"
	Updated   Action = "updated"
	Unchanged Action = "unchanged"
)

// Change is the result of applying one document.
type Change struct {
	Ref     record.Ref `json:"ref"`
	Action  Action     `json:"action"`
	Version uint64     `json:"version"`
	Diff    []string   `json:"diff,omitempty"`
}

// ConflictError reports that a record has changed since the version on which an
// operator's edit is based. The edit of that record was not written.
type ConflictError struct {
	Ref record.Ref
	// Base is the version on which the edit is based, Current the stored one.
	Base, Current uint64
	// Diff lists the differences between the stored record and the edit.
	Diff []string
}

// Error implements error.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("%s: the edit is based on version %d, but version %d is stored; get that version, merge the edit and apply again (or use --replace).", e.Ref, e.Base, e.Current)
	for _, line := range e.Diff {
		text += "\n  " + line
	}
	return text
}

// Options are the options of Apply.
type Options struct {
	// DryRun checks and compares, but writes nothing.
	DryRun bool
	// Replace overwrites the stored record, whatever its version.
	Replace bool
}

// plannedWrite is one document of an Apply call and its effect on the stored record.
type plannedWrite struct {
	document Document
	change   Change
}

// Apply checks all documents, then writes those that differ from the stored records.
// It writes nothing if a document is invalid or is not based on the stored version. It
// stops at the first write that fails, and returns the changes made until then.
func (c *Client) Apply(ctx context.Context, documents []Document, options Options) ([]Change, []string, error) {
	snapshot, err := c.store.List(ctx)
	if err != nil {
		return nil, nil, err
	}
	warnings, err := Check(documents, snapshot.Objects)
	if err != nil {
		return nil, nil, err
	}
	plan, err := planWrites(documents, snapshot.Objects, options)
	if err != nil {
		return nil, nil, err
	}
	var changes []Change
	for _, planned := range plan {
		if !options.DryRun && planned.change.Action != Unchanged {
			version, err := c.write(ctx, planned)
			if err != nil {
				return changes, warnings, err
			}
			planned.change.Version = version
		}
		changes = append(changes, planned.change)
	}
	return changes, warnings, nil
}

// planWrites compares the documents with the stored records.
func planWrites(documents []Document, existing []platform.Object, options Options) ([]plannedWrite, error) {
	current := map[record.Ref]platform.Object{}
	for _, object := range existing {
		current[object.Ref()] = object
	}
	var plan []plannedWrite
	for _, document := range documents {
		stored, exists := current[document.Ref()]
		change := Change{Ref: document.Ref(), Action: Created}
		if exists {
			change.Action = Updated
			change.Version = stored.Version
			change.Diff = Diff(stored.Envelope, document.Envelope)
		}
		if exists && len(change.Diff) == 0 {
			change.Action = Unchanged
		}
		conflicts := document.Version != stored.Version && !options.Replace && change.Action != Unchanged
		if conflicts {
			return nil, &ConflictError{Ref: document.Ref(), Base: document.Version, Current: stored.Version, Diff: change.Diff}
		}
		plan = append(plan, plannedWrite{document: document, change: change})
	}
	return plan, nil
}

// writeIDField is the field of a record that holds the ID of its last write. If the
// response to a write is lost, the ID tells whether the write took effect.
const writeIDField = "appliedBy"

// write writes one document. If the store's response is lost, it reads the record back
// and compares the ID of the write.
func (c *Client) write(ctx context.Context, planned plannedWrite) (uint64, error) {
	writeID := uuid.Must(uuid.NewV7()).String()
	envelope := planned.document.Envelope
	spec, err := setField(envelope.Spec, writeIDField, writeID)
	if err != nil {
		return 0, err
	}
	envelope.Spec = spec
	version, err := c.store.Update(ctx, envelope, planned.change.Version)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return version, nil
	case errors.As(err, &conflict):
		return 0, &ConflictError{Ref: conflict.Ref, Base: conflict.Expected, Current: conflict.Current.Version,
			Diff: Diff(conflict.Current.Envelope, planned.document.Envelope)}
	case errors.Is(err, platform.ErrUnavailable):
		return c.confirmWrite(ctx, envelope, writeID, err)
	}
	return 0, err
}

// confirmWrite finds out whether a write took effect whose response was lost.
func (c *Client) confirmWrite(ctx context.Context, envelope record.Envelope, writeID string, cause error) (uint64, error) {
	object, err := c.store.Get(ctx, envelope.Ref())
	if err == nil && bytes.Contains(object.Spec, []byte(writeID)) {
		return object.Version, nil
	}
	return 0, &UnknownOutcomeError{Ref: envelope.Ref(), Cause: cause}
}

// UnknownOutcomeError reports a write of which it is unknown whether it took effect.
type UnknownOutcomeError struct {
	Ref   record.Ref
	Cause error
}

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s: the store's response was lost, and reading the record back did not show whether the write took effect (%v); it is safe to run the same apply again", e.Ref, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

func setField(spec json.RawMessage, name, value string) (json.RawMessage, error) {
	fields := map[string]json.RawMessage{}
	if len(spec) > 0 {
		if err := json.Unmarshal(spec, &fields); err != nil {
			return nil, err
		}
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	fields[name] = encoded
	return json.Marshal(fields)
}

// Get returns one record.
func (c *Client) Get(ctx context.Context, ref record.Ref) (platform.Object, error) {
	return c.store.Get(ctx, ref)
}

// List returns the records of a kind, or all records if kind is empty.
func (c *Client) List(ctx context.Context, kind record.Kind) ([]platform.Object, error) {
	snapshot, err := c.store.List(ctx)
	if err != nil {
		return nil, err
	}
	var found []platform.Object
	for _, object := range snapshot.Objects {
		if kind == "" || object.Kind == kind {
			found = append(found, object)
		}
	}
	return found, nil
}

// Delete removes a record if it is still at the given version. It refuses pages, which
// hold the tokens that fence off former owners.
func (c *Client) Delete(ctx context.Context, ref record.Ref, version uint64) error {
	if ref.Kind == record.KindPage {
		return &record.FieldError{Record: ref, Field: "kind", Value: string(ref.Kind),
			Fix: "pages are written by controllers only: deleting one would lose its tokens"}
	}
	return c.store.Delete(ctx, ref, version)
}

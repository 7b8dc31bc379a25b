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

// Client writes operators' records to the platform's store.
type Client struct{ store platform.Store }

// NewClient returns a client on a store.
func NewClient(store platform.Store) *Client { return &Client{store: store} }

// Action is what an apply did, or would do, to one record.
type Action string

// The actions.
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

// RaceError reports that a record changed under an operator's edit. It shows
// both sides and nothing of the edit was written.
type RaceError struct {
	Ref record.Ref
	// Base is the version that the edit started from, Current the one found.
	Base, Current uint64
	// Diff leads from the record in force to the edit.
	Diff []string
}

// Error implements error.
func (e *RaceError) Error() string {
	text := fmt.Sprintf("%s: your edit starts from version %d, but version %d is in force; get it, merge your edit and apply again (or use --replace).", e.Ref, e.Base, e.Current)
	for _, line := range e.Diff {
		text += "\n  " + line
	}
	return text
}

// Options of an apply.
type Options struct {
	// DryRun checks and compares, but writes nothing.
	DryRun bool
	// Replace overwrites whatever version is in force.
	Replace bool
}

// step is one document of an apply, with what it does to the record in force.
type step struct {
	document Document
	change   Change
}

// Apply checks all documents, then writes those that differ. Nothing is
// written unless every document passes and none races another operator's edit.
func (c *Client) Apply(ctx context.Context, documents []Document, options Options) ([]Change, []string, error) {
	snapshot, err := c.store.List(ctx)
	if err != nil {
		return nil, nil, err
	}
	warnings, err := Check(documents, snapshot.Objects)
	if err != nil {
		return nil, nil, err
	}
	plan, err := prepare(documents, snapshot.Objects, options)
	if err != nil {
		return nil, nil, err
	}
	var changes []Change
	for _, step := range plan {
		if !options.DryRun && step.change.Action != Unchanged {
			version, err := c.write(ctx, step)
			if err != nil {
				return changes, warnings, err
			}
			step.change.Version = version
		}
		changes = append(changes, step.change)
	}
	return changes, warnings, nil
}

// prepare compares documents with the records in force.
func prepare(documents []Document, existing []platform.Object, options Options) ([]step, error) {
	current := map[record.Ref]platform.Object{}
	for _, object := range existing {
		current[object.Ref()] = object
	}
	var steps []step
	for _, document := range documents {
		known, exists := current[document.Ref()]
		change := Change{Ref: document.Ref(), Action: Created}
		if exists {
			change.Action = Updated
			change.Version = known.Version
			change.Diff = Diff(known.Envelope, document.Envelope)
		}
		if exists && len(change.Diff) == 0 {
			change.Action = Unchanged
		}
		raced := document.Version != known.Version && !options.Replace && change.Action != Unchanged
		if raced {
			return nil, &RaceError{Ref: document.Ref(), Base: document.Version, Current: known.Version, Diff: change.Diff}
		}
		steps = append(steps, step{document: document, change: change})
	}
	return steps, nil
}

// attemptField carries the id of a write, so that a lost reply can be settled.
const attemptField = "appliedBy"

// write writes one document. A lost reply is settled by reading the record back
// and comparing the id of the write.
func (c *Client) write(ctx context.Context, s step) (uint64, error) {
	attempt := uuid.Must(uuid.NewV7()).String()
	envelope := s.document.Envelope
	spec, err := withField(envelope.Spec, attemptField, attempt)
	if err != nil {
		return 0, err
	}
	envelope.Spec = spec
	version, err := c.store.Update(ctx, envelope, s.change.Version)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return version, nil
	case errors.As(err, &conflict):
		return 0, &RaceError{Ref: conflict.Ref, Base: conflict.Expected, Current: conflict.Current.Version,
			Diff: Diff(conflict.Current.Envelope, s.document.Envelope)}
	case errors.Is(err, platform.ErrUnavailable):
		return c.settle(ctx, envelope, attempt, err)
	}
	return 0, err
}

func (c *Client) settle(ctx context.Context, envelope record.Envelope, attempt string, cause error) (uint64, error) {
	object, err := c.store.Get(ctx, envelope.Ref())
	if err == nil && bytes.Contains(object.Spec, []byte(attempt)) {
		return object.Version, nil
	}
	return 0, &UnsettledError{Ref: envelope.Ref(), Cause: cause}
}

// UnsettledError reports a write whose outcome could not be found out.
type UnsettledError struct {
	Ref   record.Ref
	Cause error
}

// Error implements error.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("%s: the store's reply was lost and reading back did not settle it (%v); run the same apply again, which is safe", e.Ref, e.Cause)
}

// Unwrap returns the cause.
func (e *UnsettledError) Unwrap() error { return e.Cause }

func withField(spec json.RawMessage, name, value string) (json.RawMessage, error) {
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

// List returns the records of a kind, or all if it is empty.
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

// Delete removes a record at the given version.
func (c *Client) Delete(ctx context.Context, ref record.Ref, version uint64) error {
	if ref.Kind == record.KindPage {
		return &record.FieldError{Record: ref, Field: "kind", Value: string(ref.Kind),
			Fix: "pages are written by controllers only: deleting one would forget its tokens"}
	}
	return c.store.Delete(ctx, ref, version)
}

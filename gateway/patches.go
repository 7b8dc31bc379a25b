package gateway

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/rotisserie/eris"

	"cicadarouter/contract/objects"
	"cicadarouter/keyspace"
)

// Between hosts an assignment travels as the difference to the version that the
// other host has: a move changes some ranges of hundreds, and bytes between
// failure domains are dear. On 76 hosts and 170 servers a change is 0.2 to 2 KB
// a host in place of 15.

// assignmentPatch makes one version of an assignment into a later one.
type assignmentPatch struct {
	Service string `json:"service"`
	// Base and Revision are the versions' revisions in the store.
	Base     uint64          `json:"base"`
	Revision uint64          `json:"revision"`
	Patch    *keyspace.Patch `json:"patch"`
}

// patchUnfitError reports a patch of a version that this host does not have.
type patchUnfitError struct {
	Service     string
	Base, Known uint64
}

// Error implements error.
func (e *patchUnfitError) Error() string {
	return fmt.Sprintf("patch of the assignment of %s is for revision %d, known is %d", e.Service, e.Base, e.Known)
}

// mostPatches bounds the patches that are kept: nearly all hosts have the
// version before the last and ask for the same patch.
const mostPatches = 8

// patchKey names a patch.
type patchKey struct {
	service        string
	base, revision uint64
}

// patches makes the patches for other hosts, each once.
type patches struct {
	mu   sync.Mutex
	made map[patchKey]*keyspace.Patch
}

// shorten returns a listing for a host that knows the kind up to a revision,
// with patches in place of the assignments of which it has an earlier version.
func (p *patches) shorten(relay *relay, listing objects.Listing, known uint64) *watchAnswer {
	answer := &watchAnswer{Listing: objects.Listing{Revision: listing.Revision}}
	for _, object := range listing.Objects {
		base, ok := relay.versionAt(object.Name, known)
		if !ok || object.Deleted {
			answer.Objects = append(answer.Objects, object)
			continue
		}
		patch, err := p.get(base, object)
		if err != nil {
			// The host reads the record for itself and says what is wrong with it.
			answer.Objects = append(answer.Objects, object)
			continue
		}
		answer.Patches = append(answer.Patches, assignmentPatch{Service: object.Name, Base: base.Revision, Revision: object.Revision, Patch: patch})
	}
	return answer
}

func (p *patches) get(base, object objects.Object) (*keyspace.Patch, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := patchKey{service: object.Name, base: base.Revision, revision: object.Revision}
	if patch := p.made[key]; patch != nil {
		return patch, nil
	}
	old, err := decodeAssignment(base)
	if err != nil {
		return nil, err
	}
	fresh, err := decodeAssignment(object)
	if err != nil {
		return nil, err
	}
	if p.made == nil || len(p.made) >= mostPatches {
		p.made = map[patchKey]*keyspace.Patch{}
	}
	p.made[key] = keyspace.Diff(old, fresh)
	return p.made[key], nil
}

// decodeAssignment reads and checks a stored record.
func decodeAssignment(object objects.Object) (*keyspace.Record, error) {
	record := &keyspace.Record{}
	if err := json.Unmarshal(object.Spec, record); err != nil {
		return nil, eris.Wrapf(err, "assignment of %s at revision %d", object.Name, object.Revision)
	}
	return record, record.Check()
}

// patchedTogether returns a controller's answer as a listing of whole
// assignments. It fails with a *patchUnfitError if this host does not have the
// version that a patch is for.
func (g *Gateway) patchedTogether(answer *watchAnswer) (objects.Listing, error) {
	listing := answer.Listing
	for _, patch := range answer.Patches {
		object, err := g.patched(&patch)
		if err != nil {
			return objects.Listing{}, err
		}
		listing.Objects = append(listing.Objects, object)
	}
	return listing, nil
}

// patched returns the assignment that a patch makes of the one known here, or
// the one known if that is newer.
func (g *Gateway) patched(patch *assignmentPatch) (objects.Object, error) {
	object := objects.Object{Kind: Assignments, Name: patch.Service, Revision: patch.Revision}
	var record *keyspace.Record
	var known uint64
	if view := g.keyedService(patch.Service).view; view != nil {
		record, known = view.latest()
	}
	switch {
	case record != nil && known >= patch.Revision:
		object.Revision = known
	case record == nil || known != patch.Base || patch.Patch == nil:
		return object, &patchUnfitError{Service: patch.Service, Base: patch.Base, Known: known}
	default:
		fresh, err := patch.Patch.Apply(record)
		if err != nil {
			return object, eris.Wrapf(err, "patch of the assignment of %s to revision %d", patch.Service, patch.Revision)
		}
		record = fresh
	}
	spec, err := json.Marshal(record)
	object.Spec = spec
	return object, eris.Wrapf(err, "assignment of %s", patch.Service)
}

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// objectsPath is the path prefix of the platform's store.
const objectsPath = "/cicadarouter/objects/"

// meta is the metadata of a stored object.
type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedAt  int64    `json:"created-at"`
	Finalizers []string `json:"finalizers"`
	DeletionAt bool     `json:"deletion-at"`
}

// object is a stored object as it is sent.
type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// change is one event of a kind.
type change struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// store is a stand-in of the platform's metadata store. It never fails and keeps its history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	history  map[string][]change          // by kind
	changed  chan struct{}                // closed at the next change
}

func newStore() *store {
	return &store{objects: map[string]map[string]object{}, history: map[string][]change{}, changed: make(chan struct{})}
}

// apply stores an object, or removes it. s.mu must be held.
func (s *store) apply(kind string, o object, deleted bool) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.history[kind] = append(s.history[kind], change{Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// put writes an object without a condition, as the operator and the upstreams do.
func (s *store) put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err) // can't happen: the specs are plain maps and structs
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(kind, object{Metadata: meta{Name: name}, Spec: encoded}, false)
}

// remove removes an object, as the platform does with the entry of an upstream that has left.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, exists := s.objects[kind][name]; exists {
		s.apply(kind, o, true)
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	switch r.Method {
	case http.MethodGet:
		switch {
		case r.URL.Query().Has("watch"):
			s.watch(w, r, kind)
		case name != "":
			s.get(w, kind, name)
		default:
			s.list(w, r, kind)
		}
	case http.MethodPost, http.MethodPut:
		s.write(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has left
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	found, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, nil)
		return
	}
	reply(w, http.StatusOK, found)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	const pageSize = 500
	body := struct {
		Items []object `json:"items"`
		More  bool     `json:"more"`
		AsOf  uint64   `json:"as-of"`
	}{Items: []object{}}
	s.mu.Lock()
	body.AsOf = s.revision
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for i, name := range names {
		if i == pageSize {
			body.More = true
			break
		}
		body.Items = append(body.Items, s.objects[kind][name])
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, body)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body := struct {
		Events []change `json:"events"`
		AsOf   uint64   `json:"as-of"`
	}{Events: []change{}}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		body.AsOf = max(s.revision, since)
		for _, each := range s.history[kind] {
			if each.Object.Metadata.Revision > since {
				body.Events = append(body.Events, each)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(body.Events) > 0 {
			reply(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// write creates an object (POST) or replaces its spec or status (PUT) if the given revision is its own.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var given object
	if err := json.NewDecoder(r.Body).Decode(&given); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, ofStatus := strings.CutSuffix(name, "/status")
	if r.Method == http.MethodPost {
		name = given.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && given.Metadata.Revision != 0 && given.Metadata.Revision != known.Metadata.Revision:
		reply(w, http.StatusConflict, known)
		return
	case r.Method == http.MethodPut && !exists:
		reply(w, http.StatusNotFound, nil)
		return
	case ofStatus:
		known.Status = given.Status
	default:
		known.Metadata.Name, known.Metadata.Finalizers, known.Spec = name, given.Metadata.Finalizers, given.Spec
	}
	reply(w, http.StatusOK, s.apply(kind, known, false))
}

package storer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"medlargw.example/medlargw"
	"medlargw.example/medlargw/accessor"
)

// headerRevision is the header with the revision of a value.
const headerRevision = "Revision"

// maxValueBytes is the largest request body that is accepted.
const maxValueBytes = 1 << 20

// defaultWatchWait is the time that a watch waits if the request gives none.
const defaultWatchWait = 30 * time.Second

// Handler returns the HTTP handler of the store, the host list and the faults.
func (s *Storer) Handler() http.Handler {
	routes := httprouter.New()
	routes.GET("/v1/keys", s.serveList)
	routes.GET("/v1/keys/*key", s.serveGet)
	routes.PUT("/v1/keys/*key", s.servePut)
	routes.DELETE("/v1/keys/*key", s.serveDelete)
	routes.GET("/v1/watch/*key", s.serveWatch)
	routes.GET("/v1/hosts", s.serveHosts)
	routes.PUT("/v1/hosts", s.servePutHosts)
	routes.PUT("/v1/faults", s.servePutFaults)
	routes.GET("/v1/calls", s.serveCalls)
	return routes
}

func (s *Storer) serveGet(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	e, err := s.Get(r.Context(), keyOf(p))
	writeEntry(w, e, err)
}

func (s *Storer) servePut(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	revision, err := s.Put(r.Context(), keyOf(p), value, revisionOf(r))
	writeEntry(w, medlargw.KeyValue{Revision: revision}, err)
}

func (s *Storer) serveDelete(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	writeEntry(w, medlargw.KeyValue{}, s.Delete(r.Context(), keyOf(p), revisionOf(r)))
}

// keyOf returns the key in the path. Keys may contain slashes.
func keyOf(p httprouter.Params) string { return strings.TrimPrefix(p.ByName("key"), "/") }

func revisionOf(r *http.Request) uint64 {
	n, _ := strconv.ParseUint(r.Header.Get(headerRevision), 10, 64)
	return n
}

func (s *Storer) serveWatch(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = defaultWatchWait
	}
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	e, err := s.Watch(ctx, keyOf(p), after)
	if errors.Is(err, context.DeadlineExceeded) {
		e, err = medlargw.KeyValue{Revision: after}, nil // Nothing has changed.
	}
	writeEntry(w, e, err)
}

type entryWire struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

func (s *Storer) serveList(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	all, err := s.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeEntry(w, medlargw.KeyValue{}, err)
		return
	}
	wire := make([]entryWire, len(all))
	for i, e := range all {
		wire[i] = entryWire{Key: e.Key, Value: e.Value, Revision: e.Revision}
	}
	_ = json.NewEncoder(w).Encode(wire)
}

func (s *Storer) serveHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	list, err := s.Hosts(r.Context())
	if err != nil {
		writeEntry(w, medlargw.KeyValue{}, err)
		return
	}
	body, err := accessor.EncodeHosts(&list)
	writeEntry(w, medlargw.KeyValue{Value: body}, err)
}

func (s *Storer) servePutHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	list, err := accessor.DecodeHosts(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetHosts(list)
	writeEntry(w, medlargw.KeyValue{}, nil)
}

func writeEntry(w http.ResponseWriter, e medlargw.KeyValue, err error) {
	switch {
	case errors.Is(err, medlargw.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, medlargw.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		w.Header().Set(headerRevision, strconv.FormatUint(e.Revision, 10))
		_, _ = w.Write(e.Value)
	}
}

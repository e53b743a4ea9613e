package storer

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"medlargw.example/medlargw"
)

// Errors of calls with faults.
var (
	errOutage    = errors.New("the platform is down")
	errLostReply = errors.New("the reply was lost")
)

// SetFaults replaces the faults. They apply to all calls from now on, and an
// outage also to waiting watches.
func (s *Storer) SetFaults(f medlargw.StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatchers()
}

// beginCall counts a call, delays it and returns an error as the faults demand.
func (s *Storer) beginCall(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		timer := time.NewTimer(f.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if f.Outage {
		return errOutage
	}
	return ctx.Err()
}

// lostReplyError returns an error if the reply of a write that took effect is to
// be lost. The caller must hold s.mu.
func (s *Storer) lostReplyError() error {
	if s.faults.LostReplies == 0 {
		return nil
	}
	s.faults.LostReplies--
	return errLostReply
}

type faultsWire struct {
	Outage bool   `json:"outage"`
	Slow   string `json:"slow"`
	Lost   int    `json:"lost"`
	Lag    string `json:"lag"`
}

type callsWire struct {
	Calls uint64 `json:"calls"`
}

func (s *Storer) serveCalls(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	_ = json.NewEncoder(w).Encode(callsWire{Calls: s.Calls()})
}

func (s *Storer) servePutFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	f, err := decodeFaults(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func decodeFaults(body io.Reader) (medlargw.StoreFaults, error) {
	var wire faultsWire
	if err := json.NewDecoder(body).Decode(&wire); err != nil {
		return medlargw.StoreFaults{}, err
	}
	slow, err := parseDuration(wire.Slow)
	if err != nil {
		return medlargw.StoreFaults{}, err
	}
	lag, err := parseDuration(wire.Lag)
	if err != nil {
		return medlargw.StoreFaults{}, err
	}
	return medlargw.StoreFaults{Outage: wire.Outage, Delay: slow, LostReplies: wire.Lost, HostListLag: lag}, nil
}

// parseDuration parses a duration. An empty text is zero.
func parseDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}

package executor

import (
	"encoding/json"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"medlargw.example/medlargw"
)

type countsWire struct {
	Requests   int            `json:"requests"`
	Started    int            `json:"started"`
	NotStarted int            `json:"notstarted"`
	Answered   int            `json:"answered"`
	Stopped    int            `json:"stopped"`
	Numbers    map[uint64]int `json:"numbers"`
}

func (e *Executor) updateCounts(change func(c *medlargw.TargetCounts)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.counts)
}

// Counts returns the counts so far. The map of starts is a copy.
func (e *Executor) Counts() medlargw.TargetCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.StartsByTask = make(map[uint64]int, len(e.starts))
	for n, k := range e.starts {
		c.StartsByTask[n] = k
	}
	return c
}

func (e *Executor) serveCounts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	c := e.Counts()
	_ = json.NewEncoder(w).Encode(countsWire{
		Requests:   c.Requests,
		Started:    c.Started,
		NotStarted: c.NotStarted,
		Answered:   c.Answered,
		Stopped:    c.Stopped,
		Numbers:    c.StartsByTask,
	})
}

// DecodeCounts decodes the counts that a target serves at /counts.
func DecodeCounts(body []byte) (medlargw.TargetCounts, error) {
	var wire countsWire
	if err := json.Unmarshal(body, &wire); err != nil {
		return medlargw.TargetCounts{}, err
	}
	return medlargw.TargetCounts{
		Requests:     wire.Requests,
		Started:      wire.Started,
		NotStarted:   wire.NotStarted,
		Answered:     wire.Answered,
		Stopped:      wire.Stopped,
		StartsByTask: wire.Numbers,
	}, nil
}

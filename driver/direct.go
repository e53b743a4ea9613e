package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"medlargw.example/medlargw"
)

// directLease is the lease of a task that is sent without an entry.
const directLease = 30 * time.Second

// direct sends tasks straight to targets and keeps their slots itself. It is
// the caller that no dispatcher can beat.
type direct struct {
	client *http.Client
	slots  chan string // URLs of targets; one for each free slot.
	prefix string
	tags   atomic.Uint64
}

func newDirect(targets []medlargw.Target) *direct {
	total, most := 0, 0
	for i := range targets {
		total += targets[i].Slots
		most = max(most, targets[i].Slots)
	}
	d := &direct{
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: most, DisableCompression: true}},
		slots:  make(chan string, total),
		prefix: strconv.FormatInt(time.Now().UnixNano(), 36),
	}
	for round := range most {
		for i := range targets {
			if round < targets[i].Slots {
				d.slots <- "http://" + targets[i].Addr.String() + "/v1/tasks"
			}
		}
	}
	return d
}

// run sends all tasks of the job side by side and waits for the last.
func (d *direct) run(ctx context.Context, j *job) result {
	ends := make([]result, len(j.numbers))
	var running conc.WaitGroup
	for i := range j.numbers {
		running.Go(func() { ends[i] = d.task(ctx, j, i) })
	}
	running.Wait()
	worst := resultWhole
	for _, end := range ends {
		worst = max(worst, end)
	}
	return worst
}

func (d *direct) task(ctx context.Context, j *job, i int) result {
	url := <-d.slots
	defer func() { d.slots <- url }()
	payload, err := json.Marshal(payloadWire{Number: j.numbers[i], Run: j.runs[i].Microseconds()})
	if err != nil {
		panic("marshal payload: " + err.Error())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(payload))
	if err != nil {
		return resultCutOff
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Medlargw-Attempt", fmt.Sprintf("%s-%d", d.prefix, d.tags.Add(1)))
	req.Header.Set("Medlargw-Service", j.kind.Service)
	req.Header.Set("Medlargw-Lease", strconv.FormatInt(directLease.Milliseconds(), 10))
	req.Header.Set("Medlargw-Digest", strconv.FormatUint(xxhash.Sum64(payload), 16))
	return d.exchange(req, j.numbers[i])
}

func (d *direct) exchange(req *http.Request, number uint64) result {
	resp, err := d.client.Do(req)
	if err != nil {
		return resultCutOff
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resultCutOff
	}
	var got payloadWire
	switch {
	case resp.StatusCode != http.StatusOK:
		return resultFailed
	case json.Unmarshal(body, &got) != nil || got.Number != number:
		return resultWrong
	}
	return resultWhole
}

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

// directLeaseTime is the lease of a task that is sent straight to a target.
const directLeaseTime = 30 * time.Second

// directSender sends tasks straight to targets and tracks their free slots
// itself. It gives the baseline that entries are compared with: no dispatcher
// can respond faster.
type directSender struct {
	client    *http.Client
	freeSlots chan string // The target's URL once for each free slot.
	idPrefix  string
	attempts  atomic.Uint64
}

func newDirectSender(targets []medlargw.Target) *directSender {
	totalSlots, maxSlots := 0, 0
	for i := range targets {
		totalSlots += targets[i].Slots
		maxSlots = max(maxSlots, targets[i].Slots)
	}
	d := &directSender{
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxSlots, DisableCompression: true}},
		freeSlots: make(chan string, totalSlots),
		idPrefix:  strconv.FormatInt(time.Now().UnixNano(), 36),
	}
	for round := range maxSlots {
		for i := range targets {
			if round < targets[i].Slots {
				d.freeSlots <- "http://" + targets[i].Addr.String() + "/v1/tasks"
			}
		}
	}
	return d
}

// runJob sends all tasks of the job concurrently, waits for them and returns the
// highest result.
func (d *directSender) runJob(ctx context.Context, j *job) result {
	results := make([]result, len(j.taskNumbers))
	var running conc.WaitGroup
	for i := range j.taskNumbers {
		running.Go(func() { results[i] = d.runTask(ctx, j, i) })
	}
	running.Wait()
	highest := resultComplete
	for _, r := range results {
		highest = max(highest, r)
	}
	return highest
}

// runTask waits for a free slot and sends the ith task of the job to its target.
func (d *directSender) runTask(ctx context.Context, j *job, i int) result {
	url := <-d.freeSlots
	defer func() { d.freeSlots <- url }()
	payload, err := json.Marshal(payloadWire{Number: j.taskNumbers[i], Run: j.runTimes[i].Microseconds()})
	if err != nil {
		panic("marshal payload: " + err.Error())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(payload))
	if err != nil {
		return resultNoResponse
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Medlargw-Attempt", fmt.Sprintf("%s-%d", d.idPrefix, d.attempts.Add(1)))
	req.Header.Set("Medlargw-Service", j.kind.Service)
	req.Header.Set("Medlargw-Lease", strconv.FormatInt(directLeaseTime.Milliseconds(), 10))
	req.Header.Set("Medlargw-Digest", strconv.FormatUint(xxhash.Sum64(payload), 16))
	return d.sendTask(req, j.taskNumbers[i])
}

// sendTask sends the request and checks that the response holds the task's
// number.
func (d *directSender) sendTask(req *http.Request, number uint64) result {
	resp, err := d.client.Do(req)
	if err != nil {
		return resultNoResponse
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resultNoResponse
	}
	var got payloadWire
	switch {
	case resp.StatusCode != http.StatusOK:
		return resultFailed
	case json.Unmarshal(body, &got) != nil || got.Number != number:
		return resultIncorrect
	}
	return resultComplete
}

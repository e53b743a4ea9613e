// Package driver is the load generator: it sends jobs with Poisson arrivals,
// checks each response, and reports the results.
//
// For a given rate and given kinds of jobs, the seed alone determines the jobs
// and when they are due. The load is open-loop: a job is sent when it is due,
// whether or not earlier jobs have ended.
package driver

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"medlargw.example/medlargw"
)

// maxIdleConns is the number of idle connections kept to each entry.
const maxIdleConns = 512

// Driver sends one load.
type Driver struct {
	load           medlargw.Load
	client         *http.Client
	rtt            time.Duration // Shortest round trip to an entry or target.
	lastTaskNumber atomic.Uint64

	mu           sync.Mutex
	report       medlargw.LoadReport
	slowdowns    map[string]*hdrhistogram.Histogram // Percent of the ideal response time, by class.
	allSlowdowns *hdrhistogram.Histogram
	// overhead is the response time less the longest run time of the job's tasks,
	// in microseconds.
	overhead     *hdrhistogram.Histogram
	directSender *directSender // Nil if the load goes to entries.
}

// New returns a driver of the load. Its task numbers begin after the given
// number.
func New(load medlargw.Load, after uint64) *Driver {
	d := &Driver{
		load:         load,
		client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		slowdowns:    map[string]*hdrhistogram.Histogram{},
		allSlowdowns: newHistogram(),
		overhead:     newHistogram(),
	}
	if len(load.DirectTargets) > 0 {
		d.directSender = newDirectSender(load.DirectTargets)
	}
	d.lastTaskNumber.Store(after)
	return d
}

// maxRecorded is the largest value that the histograms record; larger ones are
// recorded as this.
const maxRecorded = 100_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecorded, 3) }

// Run sends jobs for the duration of the load, waits for all responses and
// returns the report.
func (d *Driver) Run(ctx context.Context) (medlargw.LoadReport, error) {
	var err error
	if d.rtt, err = d.measureRTT(ctx); err != nil {
		return medlargw.LoadReport{}, err
	}
	d.send(ctx)
	d.client.CloseIdleConnections()
	return d.buildReport(), nil
}

// send sends the jobs when they are due and waits for all responses.
func (d *Driver) send(ctx context.Context) {
	rng := rand.New(rand.NewPCG(d.load.Seed, d.load.Seed)) //nolint:gosec // Must be reproducible.
	var running conc.WaitGroup
	defer running.Wait()
	lb, stop := d.startBalancer(ctx)
	defer stop()
	start := time.Now()
	var due time.Duration
	for n := 0; ; n++ {
		due += time.Duration(rng.ExpFloat64() / d.load.Rate * float64(time.Second))
		if due > d.load.Duration {
			return
		}
		j := d.nextJob(rng, n)
		select {
		case <-time.After(time.Until(start.Add(due))):
		case <-ctx.Done():
			return
		}
		if lb != nil {
			j.entry = lb.pick(n)
		}
		running.Go(func() { d.submit(ctx, j) })
	}
}

// startBalancer starts the balancer and returns it with a function that stops it.
// The balancer is nil if the load doesn't use one.
func (d *Driver) startBalancer(ctx context.Context) (*balancer, func()) {
	if !d.load.SkipUnready {
		return nil, func() {}
	}
	b := newBalancer(d)
	ctx, cancel := context.WithCancel(ctx)
	var running conc.WaitGroup
	running.Go(func() { b.probeEntries(ctx) })
	return b, func() {
		cancel()
		running.Wait()
	}
}

// job is one job of the load. Its response must hold the task numbers.
type job struct {
	kind        medlargw.JobKind
	entry       netip.AddrPort
	taskNumbers []uint64
	runTimes    []time.Duration
}

// nextJob draws the nth job. The number of its tasks and their run times are
// uniformly distributed around the means of the job's kind.
func (d *Driver) nextJob(rng *rand.Rand, n int) *job {
	j := &job{
		kind: d.load.Kinds[rng.IntN(len(d.load.Kinds))],
	}
	if len(d.load.Entries) > 0 {
		j.entry = d.load.Entries[n%len(d.load.Entries)]
	}
	for range 1 + rng.IntN(2*j.kind.MeanTasks-1) {
		j.taskNumbers = append(j.taskNumbers, d.lastTaskNumber.Add(1))
		j.runTimes = append(j.runTimes, j.kind.MeanRunTime/2+time.Duration(rng.Int64N(int64(j.kind.MeanRunTime))))
	}
	return j
}

// ideal returns the response time of the job if no task has to wait for a slot:
// the longest run time plus a round trip.
func (j *job) ideal(rtt time.Duration) time.Duration {
	var longest time.Duration
	for _, run := range j.runTimes {
		longest = max(longest, run)
	}
	return longest + rtt
}

// result is the outcome of a job or task from the caller's view. A job that is
// sent directly has the highest result of its tasks; a failed task thus hides an
// incorrect one.
type result int

const (
	resultComplete  result = iota
	resultIncorrect        // Results are missing or belong to other tasks.
	resultRefused          // Refused, and stated as not run.
	resultFailed
	resultNoResponse // No complete HTTP response.
)

// submit sends the job, waits for the response and counts its result.
func (d *Driver) submit(ctx context.Context, j *job) {
	start := time.Now()
	var r result
	if d.directSender != nil {
		r = d.directSender.runJob(ctx, j)
	} else {
		r = d.request(ctx, j)
	}
	elapsed := time.Since(start)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.Jobs++
	d.report.Tasks += len(j.taskNumbers)
	switch r {
	case resultComplete:
		d.report.Complete++
		d.recordResponse(j, elapsed)
	case resultIncorrect:
		d.report.Incorrect++
	case resultRefused:
		d.report.Refused++
	case resultFailed:
		d.report.Failed++
	case resultNoResponse:
		d.report.NoResponse++
		d.report.Failed++
	}
}

// request sends the job to its entry and classifies the response.
func (d *Driver) request(ctx context.Context, j *job) result {
	status, body, err := d.post(ctx, j)
	switch {
	case err != nil:
		return resultNoResponse
	case status == http.StatusOK && isComplete(j, body):
		return resultComplete
	case status == http.StatusOK:
		return resultIncorrect
	case isNotRun(body):
		return resultRefused
	}
	return resultFailed
}

// recordResponse records the response time of a complete job.
func (d *Driver) recordResponse(j *job, elapsed time.Duration) {
	slowdown := int64(math.Round(100 * float64(elapsed) / float64(j.ideal(d.rtt))))
	slowdown = min(max(slowdown, 1), maxRecorded)
	class := j.kind.Class
	h := d.slowdowns[class]
	if h == nil {
		h = newHistogram()
		d.slowdowns[class] = h
	}
	_ = h.RecordValue(slowdown) // Within the histogram's bounds.
	_ = d.allSlowdowns.RecordValue(slowdown)
	_ = d.overhead.RecordValue(min(max((elapsed-j.ideal(0)).Microseconds(), 1), maxRecorded))
}

func (d *Driver) post(ctx context.Context, j *job) (int, []byte, error) {
	body, err := encodeJob(j)
	if err != nil {
		return 0, nil, err
	}
	url := "http://" + j.entry.String() + "/v1/jobs"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+j.kind.Token)
	return d.do(req)
}

func (d *Driver) do(req *http.Request) (int, []byte, error) {
	resp, err := d.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// rttSamples is the number of requests that measure the round trip.
const rttSamples = 20

// measureRTT returns the shortest round trip to the first entry or target.
func (d *Driver) measureRTT(ctx context.Context) (time.Duration, error) {
	shortest := time.Hour
	url := "http://" + d.probeEndpoint()
	for range rttSamples {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return 0, fmt.Errorf("build request: %w", err)
		}
		start := time.Now()
		if _, _, err := d.do(req); err != nil {
			return 0, fmt.Errorf("measure round trip: %w", err)
		}
		shortest = min(shortest, time.Since(start))
	}
	return shortest, nil
}

// probeEndpoint returns the address and path to which the round trip is measured.
func (d *Driver) probeEndpoint() string {
	if d.directSender != nil {
		return d.load.DirectTargets[0].Addr.String() + "/none"
	}
	return d.load.Entries[0].String() + "/healthz"
}

func (d *Driver) buildReport() medlargw.LoadReport {
	r := d.report
	r.Slowdown = slowdownOf(d.allSlowdowns)
	r.Overhead = medlargw.Overhead{
		Median: time.Duration(d.overhead.ValueAtQuantile(50)) * time.Microsecond,
		P99:    time.Duration(d.overhead.ValueAtQuantile(99)) * time.Microsecond,
	}
	r.Classes = map[string]medlargw.Slowdown{}
	for class, h := range d.slowdowns {
		r.Classes[class] = slowdownOf(h)
	}
	return r
}

// slowdownOf converts percent of the ideal response time to ratios.
func slowdownOf(h *hdrhistogram.Histogram) medlargw.Slowdown {
	return medlargw.Slowdown{Mean: h.Mean() / 100, P99: float64(h.ValueAtQuantile(99)) / 100}
}

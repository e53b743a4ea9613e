// Package driver is the load tool: it sends jobs at a steady rate, checks each
// answer, and sums up what it saw.
//
// The sequence of jobs depends on the seed alone. Jobs are sent when they are
// due, whether or not earlier ones have ended.
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

// maxConns is the number of connections kept to one entry.
const maxConns = 512

// Driver sends one load.
type Driver struct {
	load   medlargw.Load
	client *http.Client
	trip   time.Duration // One round trip to an entry.
	next   atomic.Uint64 // Number of the last task.

	mu     sync.Mutex
	report medlargw.LoadReport
	ratios map[string]*hdrhistogram.Histogram // Hundredths of the ideal, by class.
	all    *hdrhistogram.Histogram
	added  *hdrhistogram.Histogram // Microseconds.
	direct *direct                 // Nil sends to the entries.
}

// New returns a driver of the load. Task numbers start after the given one.
func New(load medlargw.Load, after uint64) *Driver {
	d := &Driver{
		load:   load,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxConns}},
		ratios: map[string]*hdrhistogram.Histogram{},
		all:    newHistogram(),
		added:  newHistogram(),
	}
	if len(load.Direct) > 0 {
		d.direct = newDirect(load.Direct)
	}
	d.next.Store(after)
	return d
}

// maxRatio is the largest response that is told apart, in hundredths of the
// ideal.
const maxRatio = 100_000_000

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRatio, 3) }

// Run sends the load until its time is over, waits for the last answer and
// returns the report.
func (d *Driver) Run(ctx context.Context) (medlargw.LoadReport, error) {
	var err error
	if d.trip, err = d.roundTrip(ctx); err != nil {
		return medlargw.LoadReport{}, err
	}
	d.send(ctx)
	d.client.CloseIdleConnections()
	return d.summary(), nil
}

// send sends the jobs when they are due and waits for the last answer.
func (d *Driver) send(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.load.Seed, d.load.Seed)) //nolint:gosec // Must repeat itself.
	var running conc.WaitGroup
	defer running.Wait()
	balance, stop := d.balance(ctx)
	defer stop()
	began := time.Now()
	var due time.Duration
	for n := 0; ; n++ {
		due += time.Duration(random.ExpFloat64() / d.load.Rate * float64(time.Second))
		if due > d.load.Time {
			return
		}
		j := d.draw(random, n)
		select {
		case <-time.After(time.Until(began.Add(due))):
		case <-ctx.Done():
			return
		}
		if balance != nil {
			j.entry = balance.pick(n)
		}
		running.Go(func() { d.submit(ctx, j) })
	}
}

// balance starts the balancer if the load asks for one.
func (d *Driver) balance(ctx context.Context) (*balancer, func()) {
	if !d.load.Balance {
		return nil, func() {}
	}
	b := newBalancer(d)
	ctx, cancel := context.WithCancel(ctx)
	var running conc.WaitGroup
	running.Go(func() { b.run(ctx) })
	return b, func() {
		cancel()
		running.Wait()
	}
}

// job is one job of the load, with what its answer must hold.
type job struct {
	kind    medlargw.LoadKind
	entry   netip.AddrPort
	numbers []uint64
	runs    []time.Duration
}

func (d *Driver) draw(random *rand.Rand, n int) *job {
	j := &job{
		kind: d.load.Kinds[random.IntN(len(d.load.Kinds))],
	}
	if len(d.load.Entries) > 0 {
		j.entry = d.load.Entries[n%len(d.load.Entries)]
	}
	for range 1 + random.IntN(2*j.kind.Tasks-1) {
		j.numbers = append(j.numbers, d.next.Add(1))
		j.runs = append(j.runs, j.kind.Run/2+time.Duration(random.Int64N(int64(j.kind.Run))))
	}
	return j
}

// ideal returns the response time when no task ever waits.
func (j *job) ideal(trip time.Duration) time.Duration {
	var longest time.Duration
	for _, run := range j.runs {
		longest = max(longest, run)
	}
	return longest + trip
}

// result is how a job ended, as its caller sees it.
type result int

const (
	resultWhole result = iota
	resultWrong
	resultRefused
	resultFailed
	resultCutOff
)

func (d *Driver) submit(ctx context.Context, j *job) {
	began := time.Now()
	var end result
	if d.direct != nil {
		end = d.direct.run(ctx, j)
	} else {
		end = d.request(ctx, j)
	}
	took := time.Since(began)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.Jobs++
	d.report.Tasks += len(j.numbers)
	switch end {
	case resultWhole:
		d.report.Whole++
		d.record(j, took)
	case resultWrong:
		d.report.Wrong++
	case resultRefused:
		d.report.Refused++
	case resultFailed:
		d.report.Failed++
	case resultCutOff:
		d.report.CutOff++
		d.report.Failed++
	}
}

// request sends the job to its entry.
func (d *Driver) request(ctx context.Context, j *job) result {
	status, body, err := d.post(ctx, j)
	switch {
	case err != nil:
		return resultCutOff
	case status == http.StatusOK && whole(j, body):
		return resultWhole
	case status == http.StatusOK:
		return resultWrong
	case notRun(body):
		return resultRefused
	}
	return resultFailed
}

func (d *Driver) record(j *job, took time.Duration) {
	ratio := int64(math.Round(100 * float64(took) / float64(j.ideal(d.trip))))
	ratio = min(max(ratio, 1), maxRatio)
	class := j.kind.Class
	h := d.ratios[class]
	if h == nil {
		h = newHistogram()
		d.ratios[class] = h
	}
	_ = h.RecordValue(ratio) // Within the histogram's bounds.
	_ = d.all.RecordValue(ratio)
	_ = d.added.RecordValue(min(max((took-j.ideal(0)).Microseconds(), 1), maxRatio))
}

func (d *Driver) post(ctx context.Context, j *job) (int, []byte, error) {
	body, err := encode(j)
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

// trips is the number of requests from which the round trip is taken.
const trips = 20

// roundTrip returns the shortest round trip to the first entry or target.
func (d *Driver) roundTrip(ctx context.Context) (time.Duration, error) {
	shortest := time.Hour
	url := "http://" + d.first()
	for range trips {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		if err != nil {
			return 0, fmt.Errorf("build request: %w", err)
		}
		began := time.Now()
		if _, _, err := d.do(req); err != nil {
			return 0, fmt.Errorf("reach entry: %w", err)
		}
		shortest = min(shortest, time.Since(began))
	}
	return shortest, nil
}

// first returns the address and path that a round trip is taken from.
func (d *Driver) first() string {
	if d.direct != nil {
		return d.load.Direct[0].Addr.String() + "/none"
	}
	return d.load.Entries[0].String() + "/healthz"
}

func (d *Driver) summary() medlargw.LoadReport {
	r := d.report
	r.Ratio = ratioOf(d.all)
	r.Added = medlargw.Added{
		Median: time.Duration(d.added.ValueAtQuantile(50)) * time.Microsecond,
		P99:    time.Duration(d.added.ValueAtQuantile(99)) * time.Microsecond,
	}
	r.Classes = map[string]medlargw.Ratio{}
	for class, h := range d.ratios {
		r.Classes[class] = ratioOf(h)
	}
	return r
}

func ratioOf(h *hdrhistogram.Histogram) medlargw.Ratio {
	return medlargw.Ratio{Mean: h.Mean() / 100, P99: float64(h.ValueAtQuantile(99)) / 100}
}

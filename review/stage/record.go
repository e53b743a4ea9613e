package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// runRecord is one run as its worker has seen it.
type runRecord struct {
	worker, task string
	attempt      int
	began, ended time.Time // Zero is not yet.
	how          string
}

// record writes record.txt and keeps the runs for the checks.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
	runs  []*runRecord
	open  map[*run]*runRecord
	found []string
}

func newRecord(path string) *record {
	f, err := os.Create(path) //nolint:gosec // The caller names the file.
	check(err)
	return &record{file: f, began: time.Now(), open: map[*run]*runRecord{}}
}

// say writes one line.
func (rec *record) say(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.line(fmt.Sprintf(format, args...))
}

func (rec *record) line(text string) {
	_, err := fmt.Fprintf(rec.file, "%8.3f %s\n", time.Since(rec.began).Seconds(), text)
	check(err)
}

func (rec *record) started(worker string, r *run, text string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	x := &runRecord{worker: worker, task: r.task, attempt: r.attempt, began: time.Now()}
	rec.runs = append(rec.runs, x)
	rec.open[r] = x
	rec.line(fmt.Sprintf("%s starts %s run %d, %s", worker, r.task, r.attempt, text))
}

func (rec *record) ended(worker string, r *run, how string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	x := rec.open[r]
	delete(rec.open, r)
	x.ended, x.how = time.Now(), how
	rec.line(fmt.Sprintf("%s ends %s run %d, %s", worker, r.task, r.attempt, how))
}

// runsOf returns the runs of the tasks of a job.
func (rec *record) runsOf(job string) []runRecord {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var all []runRecord
	for _, x := range rec.runs {
		if strings.HasPrefix(x.task, job+".") {
			all = append(all, *x)
		}
	}
	return all
}

// violate records a broken rule that a worker has seen.
func (rec *record) violate(text string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.found = append(rec.found, text)
}

// violations returns the broken rules that workers have seen.
func (rec *record) violations() []string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.found
}

// A requester cancels a job that it has handed in and whose answer it waits for.
package main

import (
	"fmt"
	"net/http"
	"time"

	"medlargw.example/medlargw/review/rig"
)

const (
	taskMs   = 6000
	deadline = 12 * time.Second
	// Of the sheet.
	cancelTime = 3 * time.Second
	stopTime   = 50 * time.Millisecond
)

func main() {
	rig.Main(func(r *rig.Rig, trouble bool) ([]string, error) {
		if err := r.Start(2, 4, 32000, rig.Queue("long", 2)); err != nil {
			return nil, err
		}
		const id = "00000000000000c1"
		e := r.Entries[0]
		answer := e.SendAsync(http.MethodPost, "/long/"+id, rig.Body(rig.Step{Count: 2, Cpu: 14000, Ms: taskMs}), deadline)
		time.Sleep(500 * time.Millisecond)
		if len(r.Runs()) == 0 {
			return nil, fmt.Errorf("no task of the job has started")
		}
		var cancelled time.Time
		if trouble {
			a := e.Send(http.MethodDelete, "/long/"+id, "", 2*time.Second)
			if a.Status/100 != 2 && a.Status != http.StatusGone {
				return nil, fmt.Errorf("the cancel was not acknowledged")
			}
			cancelled = a.At
		}
		<-answer
		var broken []string
		for _, run := range r.Runs() {
			if limit := cancelled.Add(cancelTime + stopTime); trouble && run.Ended.After(limit) {
				broken = append(broken, fmt.Sprintf("%s on %s ran on for %d ms after the cancel was acknowledged, want %d at most",
					run.Task, run.Worker, run.Ended.Sub(cancelled).Milliseconds(), (cancelTime+stopTime).Milliseconds()))
			}
		}
		return broken, nil
	})
}

package driver

import (
	"encoding/json"
	"fmt"
)

type jobWire struct {
	Service    string     `json:"service"`
	Idempotent bool       `json:"idempotent"`
	Deadline   string     `json:"deadline"`
	Runtime    string     `json:"runtime"`
	Tasks      []taskWire `json:"tasks"`
}

type taskWire struct {
	ID      string      `json:"id"`
	Payload payloadWire `json:"payload"`
}

type payloadWire struct {
	Number uint64 `json:"number"`
	Run    int64  `json:"run"` // Microseconds.
}

type answerWire struct {
	NotRun bool         `json:"notrun"`
	Tasks  []resultWire `json:"tasks"`
}

type resultWire struct {
	ID     string `json:"id"`
	Answer struct {
		Number uint64 `json:"number"`
	} `json:"answer"`
}

func encodeJob(j *job) ([]byte, error) {
	wire := jobWire{
		Service:  j.kind.Service,
		Deadline: j.kind.Deadline.String(),
		Runtime:  j.kind.MeanRunTime.String(),
	}
	for i, n := range j.taskNumbers {
		wire.Tasks = append(wire.Tasks, taskWire{
			ID:      fmt.Sprintf("t%d", i),
			Payload: payloadWire{Number: n, Run: j.runTimes[i].Microseconds()},
		})
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("encode job: %w", err)
	}
	return body, nil
}

// isComplete reports whether the response holds exactly one result for each task,
// in the order of the tasks, each with the task's number.
func isComplete(j *job, body []byte) bool {
	var wire answerWire
	if json.Unmarshal(body, &wire) != nil || len(wire.Tasks) != len(j.taskNumbers) {
		return false
	}
	for i, r := range wire.Tasks {
		if r.ID != fmt.Sprintf("t%d", i) || r.Answer.Number != j.taskNumbers[i] {
			return false
		}
	}
	return true
}

// isNotRun reports whether the response states that the job has not run.
func isNotRun(body []byte) bool {
	var wire answerWire
	return json.Unmarshal(body, &wire) == nil && wire.NotRun
}

package exporter

// helpByFamily holds the help lines of the families, by the first word of the
// metric's name.
var helpByFamily = map[string]string{
	"admin":                 "Requests of operators that were refused, by cause.",
	"attempts":              "Attempts that ended, by kind and reason.",
	"borrow":                "Calls for loans of slots, by outcome.",
	"config":                "Values of the configuration that are invalid and were ignored.",
	"entry":                 "State of this entry: tasks, slots, members and ages in seconds where the name says so.",
	"evacuations":           "Waiting tasks that were returned to their homes because the zone of their targets is evacuated.",
	"intake":                "Requests of callers that were refused before decoding, for lack of processor time or of a configuration.",
	"ending":                "Jobs that were given up or have failed and whose runs may go on (jobs).",
	"jobs":                  "Jobs that ended, by outcome: complete, or the code of the refusal or failure.",
	"lag":                   "Greatest lateness of timers and queued events of the control loop in the last second, in milliseconds.",
	"limit-changes":         "Teams that reached their limit or fell below it again.",
	"loans":                 "Slots that are lent and borrowed now.",
	"log":                   "Lines of the log that were left out.",
	"member-changes":        "Changes of the state of entries, by the new state.",
	"orders":                "Orders to targets under lease, by kind.",
	"peer-bytes":            "Bytes exchanged with other entries, headers of HTTP included, by direction.",
	"peer-call-bytes":       "Bytes of the bodies of calls to other entries, by kind.",
	"peer-calls":            "Calls to other entries, by kind.",
	"peers":                 "Messages to other entries on tasks, by kind.",
	"peer-requests":         "Requests exchanged with other entries, by direction.",
	"platform":              "Calls to the platform: answers, refused or broken calls (failed), and calls sent again for want of an answer (copies).",
	"platform-answer":       "Time of the last answer of the platform, in milliseconds.",
	"processor-wait":        "Time for which nine of ten goroutines have waited for a processor at most, in microseconds.",
	"relays":                "Jobs handed to peers for lack of processor time (sent, refused, unknown) and jobs of peers (received, rejected, silent).",
	"reports":               "Targets of this entry that get no new runs since their last reports to the platform are too old (missing).",
	"refused":               "Jobs on targets under lease that were refused before a start, by reason and rank.",
	"shed":                  "Connections that were closed for the memory of unfinished requests or for other connections, by listener.",
	"response_milliseconds": "Response time of complete jobs in milliseconds, by class; the sample favours the last minutes.",
	"share":                 "Share of this entry in the targets of its zone: owned, due by its capacity, and the capacity in thousandths of a core; zero is not stated.",
	"retry_milliseconds":    "Time in milliseconds after which refused callers were told to come back, by rank.",
	"slots":                 "Slots of targets that outlived their job.",
	"start_milliseconds":    "Time in milliseconds from the arrival of jobs to their first start on targets under lease: expected at admission, and actual.",
	"target-changes":        "Changes of the state of targets, by the new state.",
	"targets":               "Targets by state.",
	"tasks":                 "Events of tasks on targets under lease, by kind.",
	"waiting":               "Tasks that wait, by the rank of their class.",
	"zones":                 "Zones by state, as this entry knows them.",
}

// familyHelp returns the help line of a family, or nil for an unknown one.
func familyHelp(word string) *string {
	if text, ok := helpByFamily[word]; ok {
		return &text
	}
	return nil
}

// Package medlargw holds the domain types of the dispatcher and the interfaces
// of the behaviour that varies. The packages below it implement them.
//
// Data flows in one direction: a receiver turns a request into a Job, the
// dispatcher admits it and asks its decider what to start, a sender carries
// each Attempt to a Target, and the ends of the attempts add up to an Outcome.
// Domain types carry no tags; package encoder maps them to their wire forms.
package medlargw

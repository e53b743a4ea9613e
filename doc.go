// Package medlargw holds the domain types of a distributed task dispatcher and
// the interfaces between its components. The packages below it implement them.
//
// Data flows in one direction: the receiver turns a request into a Job, the
// dispatcher admits it and asks its decider what to start, the sender carries
// each Attempt to a Target, and the ends of the attempts make up the Outcome.
// Domain types carry no tags; other packages map them to their wire forms, such
// as package encoder to the JSON of the caller API.
//
// Terms that the packages share:
//
//   - An entry is a process of the dispatcher. Callers may send their requests
//     to any entry of the deployment. The entries of a deployment are peers:
//     they exchange heartbeats and share the targets without a leader.
//   - A target is a host that runs tasks. It has either slots, each of which
//     runs one task at a time, or resources (cores, memory and accelerators)
//     from which every task takes its amount. Targets with resources form pools
//     and run tasks under a lease.
//   - The owner of a target with slots is the entry that allocates them. It
//     lends slots to other entries for a limited term. The owner of a team's
//     limit lends units of that limit in the same way.
//   - The holder of a target with resources is the entry that renews the
//     target's lease and starts and stops its runs. Its orders carry a fencing
//     token, so that a target rejects those of a former holder.
//   - The home of a job is the entry that has accepted it and keeps its state.
//     It offers the job's tasks to holders. The home of a ticket is the
//     incarnation of an entry that has issued it and records its use.
//   - A ticket is an idempotency key that an entry issues before a job is
//     submitted. At most one submission with it runs.
//   - A run is one execution of a task on a target under lease; an attempt is
//     one request that sends a task to a target with slots.
//   - An incarnation is the time between a start of a process and its end. A
//     process that starts again at the same address has a new incarnation.
package medlargw

package worker

// What jobs cost the memory of a host. A caller's request of a hundred bytes may have ten thousand
// tasks, and an owner holds the jobs of all entry hosts. The rules are:
//
//  1. An owner refuses a job that would make the jobs it holds cost more than the host's part for
//     jobs. A job that is alone is not refused.
//  2. A job that costs more than ordinaryJobBytes must leave a quarter of that part free, so that
//     others run beside any number of large ones.
//  3. The submissions that wait in the mailbox have the same bound, without their tasks, which do
//     not exist yet.

import "time"

const (
	// jobBytes, stepBytes and taskBytes are what a job, a step and a task cost besides their
	// texts: the types of this package, the entries of maps and queues that hold them, and for a
	// task also the run and its commands.
	jobBytes, stepBytes, taskBytes = 2048, 512, 512
	// ordinaryJobBytes is the cost up to which a job may use all of the host's part (rule 2): that
	// of about a hundred tasks.
	ordinaryJobBytes = 64 << 10
	reasonHostFull   = "HostFull"
	// hostFullRetry is when a caller may submit a job again for which there was no memory.
	hostFullRetry = time.Second
)

// Bytes returns what the job costs a host besides its tasks.
func (j *Job) Bytes() int64 {
	n := jobBytes + len(j.Spec) + len(j.ID)
	for i := range j.Steps {
		s := &j.Steps[i]
		n += stepBytes + 8*len(s.After) + len(s.Requires) + len(s.Rack)
	}
	return int64(n)
}

// ownerBytes returns what the job costs its owner.
func (j *Job) ownerBytes() int64 {
	n := j.Bytes()
	for i := range j.Steps {
		n += taskBytes * int64(j.Steps[i].Count)
	}
	return n
}

// fitsMemory reports whether a pool that holds jobs of heldBytes may hold another one under a
// limit (rules 1 and 2); 0 means no limit.
func fitsMemory(heldBytes, jobBytes, limit int64) bool {
	if limit == 0 || heldBytes == 0 {
		return true
	}
	if jobBytes > ordinaryJobBytes {
		limit -= limit / 4
	}
	return heldBytes+jobBytes <= limit
}

package worker

import "time"

// refusedJobs remembers when jobs that were refused had arrived, so that a caller that
// returns after Retry-After isn't taken for a new one. It answers this load: at twice the
// room, callers that return after 4 s are served late, in place of others that would have
// been on time. It holds two generations of at most maxRefusedJobs jobs, each for
// refusedRetention, and drops the older one as a whole.
type refusedJobs struct {
	current, previous map[string]time.Time
	since             time.Time
}

const (
	// refusedRetention exceeds the longest Retry-After with its jitter.
	refusedRetention = 10 * time.Second
	// maxRefusedJobs bounds a generation, to about 1.5 MB. Further jobs count as new when
	// they return.
	maxRefusedJobs = 16384
)

// add records that a job which arrived at a time was refused.
func (r *refusedJobs) add(now time.Time, id string, arrived time.Time) {
	if r.current == nil || now.Sub(r.since) > refusedRetention {
		r.previous, r.current, r.since = r.current, map[string]time.Time{}, now
	}
	if len(r.current) < maxRefusedJobs {
		r.current[id] = arrived
	}
}

// arrived returns when a job first arrived. ok is false if it is not known to have been
// refused.
func (r *refusedJobs) arrived(id string) (at time.Time, ok bool) {
	if at, ok = r.current[id]; !ok {
		at, ok = r.previous[id]
	}
	return at, ok
}

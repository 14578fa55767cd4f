package worker

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"guavayoke/pkg/document"
)

// Router finds the queue of a request in one configuration.
type Router struct {
	Version uint64
	// MaxBodyBytes and MaxHeaderBytes bound requests; 0 means no bound of the
	// configuration's.
	MaxBodyBytes, MaxHeaderBytes int
	byHost                       map[string][]document.Queue
}

// NewRouter returns the router of a configuration.
func NewRouter(version uint64, d *document.Document) *Router {
	r := &Router{
		Version: version, MaxBodyBytes: d.Requests.MaxBodyBytes, MaxHeaderBytes: d.Requests.MaxHeaderBytes,
		byHost: map[string][]document.Queue{},
	}
	for _, q := range d.Queues {
		h := strings.ToLower(q.Host)
		r.byHost[h] = append(r.byHost[h], q)
	}
	for _, list := range r.byHost {
		slices.SortStableFunc(list, func(a, b document.Queue) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return r
}

// Find returns the queue with the host and the longest prefix of the path.
func (r *Router) Find(host, path string) (document.Queue, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, q := range r.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.PathPrefix) {
			return q, true
		}
	}
	return document.Queue{}, false
}

// ApplyQueue fills in what the configuration says of a job.
func (j *Job) ApplyQueue(q document.Queue) {
	j.Queue, j.Service, j.Priority = q.Name, q.Service, q.Priority
	j.MaxFailures = max(q.Attempts, 1)
	j.Stretch, j.Target = q.Stretch, time.Duration(q.TargetMs)*time.Millisecond
}

// Bounds of a job, which keep one request from using up a host's memory.
const (
	maxSteps     = 256
	maxTasks     = 10000
	maxSpecBytes = 4000
)

// Validate reports what is wrong with a job that a caller sent.
func (j *Job) Validate() error {
	if len(j.Spec) > maxSpecBytes {
		return fmt.Errorf("the spec has %d bytes, at most %d are allowed", len(j.Spec), maxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return fmt.Errorf("a job has 1 to %d steps, not %d", maxSteps, len(j.Steps))
	}
	tasks := 0
	for i, st := range j.Steps {
		tasks += max(st.Count, 0)
		switch {
		case st.Count < 1 || tasks > maxTasks:
			return fmt.Errorf("step %d: %d tasks; a job has at most %d and a step at least one", i, st.Count, maxTasks)
		case st.Need.CPUMilli < 0 || st.Need.MemoryMB < 0 || st.Need.GPUs < 0 || st.Estimate < 0 || st.MaxPerServer < 0:
			return fmt.Errorf("step %d: a number is negative", i)
		}
		for _, a := range st.After {
			if a < 0 || a >= i {
				return fmt.Errorf("step %d: comes after step %d, which is not before it", i, a)
			}
		}
	}
	return nil
}

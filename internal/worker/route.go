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

// Router maps the host and path of a request to a queue of one configuration.
type Router struct {
	// Version is the version of the configuration.
	Version uint64
	// MaxBodyBytes and MaxHeaderBytes bound the size of requests; 0 means that the
	// configuration sets no bound.
	MaxBodyBytes, MaxHeaderBytes int
	// byHost has the queues of each host in lower case, longest path prefix first.
	byHost map[string][]document.Queue
}

// NewRouter returns a Router for the queues of a document.
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

// Find returns the queue of the host with the longest path prefix that matches path.
// It reports false if there is none. host may have a port, which is ignored.
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

// ApplyQueue copies the settings of a queue to the job.
func (j *Job) ApplyQueue(q document.Queue) {
	j.Queue, j.Service, j.Priority = q.Name, q.Service, q.Priority
	j.MaxFailures = max(q.Attempts, 1)
	j.Stretch, j.Target = q.Stretch, time.Duration(q.TargetMs)*time.Millisecond
}

// Bounds of a job, so that one request can't exhaust a host's memory.
const (
	maxSteps     = 256
	maxTasks     = 10000
	maxSpecBytes = 4000
)

// Validate returns an error that describes the first problem of a job that a caller
// sent, or nil.
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

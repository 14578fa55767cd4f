package worker

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"guavayoke/internal/kvstore"
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

// Bounds of a job, so that one request can't exhaust a host's memory, and no sum or product of
// the numbers of jobs exceeds its type.
const (
	// MaxSteps bounds the steps of a job.
	MaxSteps     = 256
	maxTasks     = 10000
	maxSpecBytes = 4000
	// maxJobTextBytes bounds the ID of a job and the labels that it names.
	maxJobTextBytes = 200
	// MaxEstimate bounds the run time that a caller may declare. It waits for the result.
	MaxEstimate = time.Hour
	// MaxStretch and MaxTime bound the settings of a queue: Stretch, and Target and the time
	// that a caller waits.
	MaxStretch = 1000
	MaxTime    = 24 * time.Hour
)

// MaxResources is more than any server has.
var MaxResources = Resources{CPUMilli: kvstore.MaxCPUMilli, MemoryMB: kvstore.MaxMemoryMB, GPUs: kvstore.MaxGPUs}

// Validate returns an error that describes the first problem of a job that a caller or another
// host sent, or nil.
func (j *Job) Validate() error {
	if len(j.Spec) > maxSpecBytes {
		return fmt.Errorf("the spec has %d bytes, at most %d are allowed", len(j.Spec), maxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("a job has 1 to %d steps, not %d", MaxSteps, len(j.Steps))
	}
	if len(j.ID) > maxJobTextBytes {
		return fmt.Errorf("the ID has %d bytes, at most %d are allowed", len(j.ID), maxJobTextBytes)
	}
	// A comparison with NaN is false.
	if !(j.Stretch >= 0 && j.Stretch <= MaxStretch) || outside(j.Target) || outside(j.Budget) || outside(j.Age) {
		return fmt.Errorf("stretch %v, target %v, budget %v or age %v is out of bounds", j.Stretch, j.Target, j.Budget, j.Age)
	}
	tasks := 0
	for i := range j.Steps {
		st := &j.Steps[i]
		if st.Count < 1 || st.Count > maxTasks-tasks {
			return fmt.Errorf("step %d: %d tasks; a job has at most %d and a step at least one", i, st.Count, maxTasks)
		}
		tasks += st.Count
		if err := st.validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

// outside reports whether a time is out of the bounds of a job's times.
func outside(d time.Duration) bool { return d < 0 || d > MaxTime }

// validate returns an error that describes the first problem of the step with an index, or nil.
func (st *Step) validate(index int) error {
	n := st.Need
	switch {
	case n.CPUMilli < 0 || n.MemoryMB < 0 || n.GPUs < 0 || st.Estimate < 0 || st.MaxPerServer < 0:
		return errors.New("a number is negative")
	case !n.Fits(MaxResources) || st.Estimate > MaxEstimate:
		return errors.New("a number is larger than any server or run time")
	case len(st.Requires) > maxJobTextBytes || len(st.Rack) > maxJobTextBytes:
		return fmt.Errorf("a label has more than %d bytes", maxJobTextBytes)
	case len(st.After) > MaxSteps:
		return fmt.Errorf("comes after %d steps, at most %d are allowed", len(st.After), MaxSteps)
	}
	for _, a := range st.After {
		if a < 0 || a >= index {
			return fmt.Errorf("comes after step %d, which is not before it", a)
		}
	}
	return nil
}

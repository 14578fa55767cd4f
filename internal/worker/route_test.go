package worker

import (
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"guavayoke/pkg/document"
)

func TestRouterFindsLongestPrefix(t *testing.T) {
	r := NewRouter(1, &document.Document{Queues: []document.Queue{
		{Name: "short", Host: "A.example", PathPrefix: "/jobs/"},
		{Name: "long", Host: "a.example", PathPrefix: "/jobs/more/"},
		{Name: "other", Host: "b.example", PathPrefix: "/jobs/"},
	}})
	tests := map[string]struct{ host, path, want string }{
		"Short":       {"a.example", "/jobs/1", "short"},
		"Long":        {"a.example", "/jobs/more/1", "long"},
		"HostCase":    {"A.Example", "/jobs/1", "short"},
		"HostPort":    {"b.example:80", "/jobs/1", "other"},
		"UnknownHost": {"c.example", "/jobs/1", ""},
		"UnknownPath": {"a.example", "/job", ""},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			q, ok := r.Find(c.host, c.path)
			if q.Name != c.want || ok != (c.want != "") {
				t.Errorf("Find returns queue %q, want %q", q.Name, c.want)
			}
		})
	}
}

// TestJobBounds checks that a job with a number or a text that is out of bounds is invalid, also
// if another host has sent it, and that numbers at the bounds overflow nowhere.
func TestJobBounds(t *testing.T) {
	const max64 = math.MaxInt64
	step := Step{Count: 1, Need: Resources{CPUMilli: 1000}, Estimate: time.Second}
	cases := map[string]struct {
		change func(j *Job, st *Step)
		valid  bool
	}{
		"Usual": {func(*Job, *Step) {}, true},
		"AtBounds": {func(j *Job, st *Step) {
			j.Stretch, j.Target, j.Budget, j.Age = MaxStretch, MaxTime, MaxTime, MaxTime
			st.Need, st.Estimate, st.MaxPerServer = MaxResources, MaxEstimate, max64
		}, true},
		// The sum of the counts must not overflow.
		"CountMax64":       {func(_ *Job, st *Step) { st.Count = max64 }, false},
		"CountTooLarge":    {func(_ *Job, st *Step) { st.Count = maxTasks }, false},
		"CountNegative":    {func(_ *Job, st *Step) { st.Count = -1 }, false},
		"CPUMax64":         {func(_ *Job, st *Step) { st.Need.CPUMilli = max64 }, false},
		"MemoryMax64":      {func(_ *Job, st *Step) { st.Need.MemoryMB = max64 }, false},
		"GPUsMax64":        {func(_ *Job, st *Step) { st.Need.GPUs = max64 }, false},
		"EstimateMax64":    {func(_ *Job, st *Step) { st.Estimate = max64 }, false},
		"AfterItself":      {func(_ *Job, st *Step) { st.After = []int{1} }, false},
		"AfterMax64":       {func(_ *Job, st *Step) { st.After = []int{max64} }, false},
		"AfterManyTimes":   {func(_ *Job, st *Step) { st.After = make([]int, 100_000) }, false},
		"LongLabel":        {func(_ *Job, st *Step) { st.Requires = strings.Repeat("l", 10_000) }, false},
		"LongRack":         {func(_ *Job, st *Step) { st.Rack = strings.Repeat("l", 10_000) }, false},
		"LongID":           {func(j *Job, _ *Step) { j.ID = strings.Repeat("1", 10_000) }, false},
		"StretchNaN":       {func(j *Job, _ *Step) { j.Stretch = math.NaN() }, false},
		"StretchInfinite":  {func(j *Job, _ *Step) { j.Stretch = math.Inf(1) }, false},
		"StretchNegative":  {func(j *Job, _ *Step) { j.Stretch = -1 }, false},
		"TargetMax64":      {func(j *Job, _ *Step) { j.Target = max64 }, false},
		"BudgetNegative":   {func(j *Job, _ *Step) { j.Budget = -1 }, false},
		"AgeMin64":         {func(j *Job, _ *Step) { j.Age = math.MinInt64 }, false},
		"AgeLargerThanDay": {func(j *Job, _ *Step) { j.Age = 25 * time.Hour }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			j := Job{ID: "1", Queue: "q", Service: "s", MaxFailures: 1, Stretch: 20, Steps: []Step{step, step}}
			c.change(&j, &j.Steps[1])
			if err := j.Validate(); (err == nil) != c.valid {
				t.Fatalf("Validate returns %v", err)
			}
			if !c.valid {
				return
			}
			p := newPoolTester(t)
			p.pool.AssumeOwnership(p.now, nil)
			for n := range 300 {
				j.ID = strconv.Itoa(n)
				p.pool.Submit(p.now, 1, j)
			}
			if l := p.pool.Load(); l.WaitMs < 0 || l.FreeCPUMilli < 0 {
				t.Errorf("the load is %+v", l)
			}
			if o := p.pool.newJob(p.now, 1, j).objective(); o < 0 {
				t.Errorf("the objective is %v", o)
			}
		})
	}
}

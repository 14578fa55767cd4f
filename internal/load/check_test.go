package load

import (
	"encoding/json"
	"testing"
	"time"

	"guavayoke/internal/standin"
	"guavayoke/pkg/client"
	"guavayoke/pkg/verdict"
)

// completeJob returns the sample of a job of two tasks with correct answers.
func completeJob(t *testing.T) sample {
	t.Helper()
	s := sample{kind: KindJob, tasks: []standin.TaskBody{{Text: "a b"}, {Text: "c"}}}
	s.result = client.Result{ID: "id", State: client.StateComplete, Verdict: verdict.Ran}
	for _, w := range s.tasks {
		b, err := json.Marshal(w.ExpectedAnswer())
		if err != nil {
			t.Fatal(err)
		}
		s.result.Tasks = append(s.result.Tasks, client.TaskResult{Verdict: verdict.Ran, Answer: b})
	}
	return s
}

// TestChecksFindViolations verifies that each violation is found by the checks of its
// invariant and by no other check.
func TestChecksFindViolations(t *testing.T) {
	tests := map[string]struct {
		change func(s *sample)
		starts []string
		want   string
	}{
		"Good":          {func(*sample) {}, []string{"id#0", "id#1"}, ""},
		"StartedTwice":  {func(*sample) {}, []string{"id#0", "id#1", "id#1"}, "I1 I5"},
		"Partly":        {func(s *sample) { s.result.Tasks = s.result.Tasks[:1] }, nil, "I2"},
		"Swapped":       {func(s *sample) { s.result.Tasks[0], s.result.Tasks[1] = s.result.Tasks[1], s.result.Tasks[0] }, nil, "I3"},
		"RefusedButRan": {func(s *sample) { s.result.Tasks[1].Verdict = verdict.NotRun }, []string{"id#1"}, "I4"},
		"Idempotent":    {func(s *sample) { s.kind, s.result.Answer = KindIdempotent, s.result.Tasks[0].Answer }, []string{"id#0", "id#0"}, ""},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := completeJob(t)
			tc.change(&s)
			var rec standin.BackendRecord
			for _, task := range tc.starts {
				rec.Starts = append(rec.Starts, standin.TaskStart{Task: task})
			}
			_, counts := runChecks([]sample{s}, []standin.BackendRecord{rec})
			got := ""
			for _, c := range checks {
				if counts[c.Name] > 0 {
					if got != "" {
						got += " "
					}
					got += c.Name
				}
			}
			if got != tc.want {
				t.Errorf("violated invariants: %q, want %q", got, tc.want)
			}
		})
	}
}

func TestRecoverySeconds(t *testing.T) {
	second := func(at int, stretch float64, other int) Second {
		return Second{At: at, Submitted: 100, Complete: 100 - other, Other: other, Stretch: stretch}
	}
	tests := map[string]struct {
		after []Second
		want  int
	}{
		"NothingSeen": {[]Second{second(2, 1.1, 0), second(3, 1.1, 0)}, 0},
		"Stretched":   {[]Second{second(2, 1.9, 0), second(3, 1.1, 0)}, 1},
		"Failed":      {[]Second{second(2, 1, 5), second(3, 1, 0)}, 1},
		"Never":       {[]Second{second(2, 1, 5), second(3, 1, 5)}, -1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			list := append([]Second{second(0, 1, 0), second(1, 1, 0)}, tc.after...)
			list = append(list, second(4, 9, 0)) // The last second is incomplete and not counted.
			if got := recoverySeconds(list, 2); got != tc.want {
				t.Errorf("recovered after %d s, want %d s", got, tc.want)
			}
		})
	}
}

// TestSubmissionsDependOnSeed verifies that the same seed gives the same submissions and
// that their mean rate is TasksPerSecond within 10 %.
func TestSubmissionsDependOnSeed(t *testing.T) {
	c := Config{TasksPerSecond: 1000, Duration: 20 * time.Second, Seed: 3, JobShare: 0.5, MaxTasksPerJob: 20}
	a, b := c.submissions(), c.submissions()
	total := 0
	for i := range a {
		if a[i].at != b[i].at || len(a[i].tasks) != len(b[i].tasks) {
			t.Fatalf("submission %d differs between two draws with the same seed", i)
		}
		total += len(a[i].tasks)
	}
	if total < 18_000 || total > 22_000 {
		t.Errorf("%d tasks in 20 s at a mean rate of 1000 per second, want 18000 to 22000", total)
	}
}

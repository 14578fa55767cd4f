package worker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// declaredDeviation is the standard deviation of the logarithm of the run time over the declared
// one, as logs of the deployment with wide jobs show it.
const declaredDeviation = 0.43

// speedLoad draws runs whose declared run time is off by up to 40 %, on servers of
// several kinds with a speed each.
type speedLoad struct {
	// factors holds the true factor of the servers of each kind; slow is the factor of
	// server 0 of kind "a" from half of the samples on.
	factors map[string]float64
	slow    float64
	servers int
	samples int
	// tasks is the number of tasks of a job, two on a server, which share the error of the
	// declared run time; 0 means 1.
	tasks int
	// recorded, if not nil, is called after each sample.
	recorded func(m *speedModel, kind string, s *serverSpeed)
}

func (l speedLoad) play(seed uint64) (*speedModel, map[string][]*serverSpeed) {
	r := rand.New(rand.NewPCG(seed, 3))
	m := newSpeedModel()
	servers := map[string][]*serverSpeed{}
	count := map[string]int{}
	for kind := range l.factors {
		for range l.servers {
			servers[kind] = append(servers[kind], &serverSpeed{})
		}
		count[kind] = l.servers
	}
	m.setServers(count)
	jobs, left, declared := 0, 0, time.Duration(0)
	for n := range l.samples {
		for _, kind := range []string{"a", "b"} {
			for i, s := range servers[kind] {
				f := l.factors[kind]
				if kind == "a" && i == 0 && l.slow > 0 && n >= l.samples/2 {
					f = l.slow
				}
				for range min(max(l.tasks, 1), 2) {
					if left == 0 {
						jobs++
						left = max(l.tasks, 1)
						off := 0.6 + 0.8*r.Float64()
						if l.tasks > 1 {
							off = math.Exp(declaredDeviation * r.NormFloat64())
						}
						declared = time.Duration(off * float64(200*time.Millisecond))
					}
					left--
					m.record(kind, s, speedSample{
						job: strconv.Itoa(jobs), tasks: max(l.tasks, 1), took: time.Duration(f * float64(200*time.Millisecond)), expected: declared,
					})
				}
				if l.recorded != nil {
					l.recorded(m, kind, s)
				}
			}
		}
	}
	return m, servers
}

func TestSpeedsOfKindsAreLearned(t *testing.T) {
	m, servers := speedLoad{factors: map[string]float64{"a": 1 / 0.7, "b": 1 / 1.7}, servers: 20, samples: 40}.play(1)
	got := m.factor("a", servers["a"][3]) / m.factor("b", servers["b"][3])
	if want := 1.7 / 0.7; math.Abs(got/want-1) > 0.1 {
		t.Errorf("a run takes %.2f times as long on kind a as on kind b, want %.2f", got, want)
	}
}

// TestAlikeServersAreOneClass guards against placing that follows chance.
func TestAlikeServersAreOneClass(t *testing.T) {
	for seed := range uint64(20) {
		m, servers := speedLoad{factors: map[string]float64{"a": 1, "b": 1}, servers: 50, samples: 100}.play(seed)
		for kind, list := range servers {
			for i, s := range list {
				if c := speedClass(m.factor(kind, s)); c != 0 {
					t.Errorf("seed %d: server %d of kind %s is of class %d, factor %.2f", seed, i, kind, c, m.factor(kind, s))
				}
			}
		}
	}
}

// TestWideJobsDoNotMakeServersDiffer guards against one wrong estimate that counts once for each
// task of its job.
func TestWideJobsDoNotMakeServersDiffer(t *testing.T) {
	samples, others := 0, 0
	for seed := range uint64(20) {
		speedLoad{
			factors: map[string]float64{"a": 1, "b": 1}, servers: 24, samples: 60, tasks: 8,
			recorded: func(m *speedModel, kind string, s *serverSpeed) {
				samples++
				if speedClass(m.factor(kind, s)) != 0 {
					others++
				}
			},
		}.play(seed)
	}
	if others > samples/1000 {
		t.Errorf("after %d of %d samples the server was of another class", others, samples)
	}
}

// TestAlikeServersAreOneClassFromTheStart guards against classes that follow chance while few
// runs have ended.
func TestAlikeServersAreOneClassFromTheStart(t *testing.T) {
	samples, others := 0, 0
	for seed := range uint64(20) {
		speedLoad{factors: map[string]float64{"a": 1, "b": 1}, servers: 50, samples: 30, recorded: func(m *speedModel, kind string, s *serverSpeed) {
			samples++
			if speedClass(m.factor(kind, s)) != 0 {
				others++
			}
		}}.play(seed)
	}
	if others > 0 {
		t.Errorf("after %d of %d samples the server was of another class", others, samples)
	}
}

func TestSlowServerIsToldFromItsKind(t *testing.T) {
	m, servers := speedLoad{factors: map[string]float64{"a": 1, "b": 1}, slow: 5, servers: 20, samples: 20}.play(2)
	if f := m.factor("a", servers["a"][0]); f < 3 {
		t.Errorf("the factor of the slow server is %.2f, want 5", f)
	}
	if f := m.factor("a", servers["a"][1]); math.Abs(f-1) > 0.1 {
		t.Errorf("the factor of another server of the kind is %.2f, want 1", f)
	}
}

func TestOneLongRunDoesNotMakeAServerSlow(t *testing.T) {
	m, servers := speedLoad{factors: map[string]float64{"a": 1, "b": 1}, servers: 20, samples: 40}.play(3)
	s := servers["a"][0]
	m.record("a", s, speedSample{job: "long", tasks: 1, took: 3 * time.Second, expected: 200 * time.Millisecond})
	if c := speedClass(m.factor("a", s)); c != 0 {
		t.Errorf("after one long run the server is of class %d", c)
	}
}

func TestServerThatRecoversIsFastAgain(t *testing.T) {
	m, servers := speedLoad{factors: map[string]float64{"a": 1, "b": 1}, slow: 5, servers: 20, samples: 20}.play(4)
	s := servers["a"][0]
	for n := range 8 {
		m.record("a", s, speedSample{job: fmt.Sprint("again", n), tasks: 1, took: 200 * time.Millisecond, expected: 200 * time.Millisecond})
	}
	if c := speedClass(m.factor("a", s)); c != 0 {
		t.Errorf("the server is of class %d, factor %.2f", c, m.factor("a", s))
	}
}

func TestSpeedOrder(t *testing.T) {
	const fast, slow = -2, 3 // 0.64 and 1.95 times the reference run time
	busy := []speedClassRoom{{fast, 10, 100}, {slow, 10, 100}}
	idle := []speedClassRoom{{fast, 90, 100}, {slow, 90, 100}}
	tests := map[string]struct {
		runTime time.Duration
		waited  time.Duration
		rooms   []speedClassRoom
		want    []int
	}{
		"OneClass":                      {900 * time.Millisecond, time.Hour, idle[:1], []int{fast}},
		"ShortTaskLeavesFastServers":    {50 * time.Millisecond, 0, busy, []int{slow, fast}},
		"ShortTaskOnIdleServers":        {50 * time.Millisecond, 0, idle, []int{fast, slow, fast}},
		"LongTaskWaitsForFastServers":   {900 * time.Millisecond, 0, busy, []int{fast}},
		"LateTaskTakesAny":              {900 * time.Millisecond, 1400 * time.Millisecond, busy, []int{fast, slow}},
		"WorthlessAnswerIsNotComputed":  {900 * time.Millisecond, 3900 * time.Millisecond, busy, []int{fast}},
		"ShortTaskThatHasWaitedIsFirst": {50 * time.Millisecond, 70 * time.Millisecond, busy, []int{fast}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			j := &job{Job: Job{Stretch: 1.6, Target: 60 * time.Millisecond}, criticalPath: c.runTime, arrived: now.Add(-c.waited)}
			if got := j.speedOrder(now, c.runTime, c.rooms); !slices.Equal(got, c.want) {
				t.Errorf("the classes are %v, want %v", got, c.want)
			}
		})
	}
}

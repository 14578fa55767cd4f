package reference

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "guavayoke/internal/fixedseed"
)

// job returns a job of a queue, whose tasks each take 32 cores for ms.
func job(id, domain string, atMs float64, tasks int, ms float64) Job {
	return Job{ID: id, AtMs: atMs, Domain: domain, Queue: "q", Tasks: tasks, Cores: 32, EstimateMs: ms, RunMs: ms, Stretch: 1, TargetMs: 50}
}

// inQueue returns the job in another queue.
func inQueue(queue string, j Job) Job {
	j.Queue = queue
	return j
}

// TestPolicies has loads for which the best is worked out by hand. Objectives are the run time
// and 50 ms.
func TestPolicies(t *testing.T) {
	a, b := Server{ID: "a1", Domain: "A", Cores: 64}, Server{ID: "b1", Domain: "B", Cores: 64}
	misjudged := func(id string, at, declared, ms float64) Job {
		j := job(id, "A", at, 2, ms)
		j.EstimateMs, j.Stretch, j.TargetMs = declared, 1.5, 20
		return j
	}
	tests := map[string]struct {
		load Load
		// want is the number of jobs on time under each of Policies: WithoutFaults, AllKnowing,
		// Routed, ByDomain, InformedPooled and Informed.
		want [6]int
	}{
		"one fits": {Load{Servers: []Server{a}, Jobs: []Job{job("1", "A", 0, 2, 100)}}, [6]int{1, 1, 1, 1, 1, 1}},
		// The second would end at 200, but has to by 150.
		"two of which one fits": {
			Load{Servers: []Server{a}, Jobs: []Job{job("1", "A", 0, 2, 100), job("2", "A", 0, 2, 100)}}, [6]int{1, 1, 1, 1, 1, 1},
		},
		// The second starts at 40 and ends at 140, by 150.
		"the second waits": {
			Load{Servers: []Server{a}, Jobs: []Job{job("1", "A", 0, 2, 40), job("2", "A", 0, 2, 100)}}, [6]int{2, 2, 2, 2, 2, 2},
		},
		"another domain has room": {
			Load{Servers: []Server{a, b}, Jobs: []Job{job("1", "A", 0, 2, 100), job("2", "A", 0, 2, 100)}}, [6]int{2, 2, 2, 1, 2, 2},
		},
		"a job as wide as two domains": {Load{Servers: []Server{a, b}, Jobs: []Job{job("1", "A", 0, 4, 100)}}, [6]int{1, 1, 0, 0, 1, 0}},
		// Its runs are lost at 50 and start again at 60, to end at 160.
		"a server that fails": {
			Load{
				Servers: []Server{a}, Jobs: []Job{job("1", "A", 0, 2, 100)},
				Changes: []Change{{AtMs: 50, Server: "a1", State: Down}, {AtMs: 60, Server: "a1", State: Up}},
			}, [6]int{1, 0, 0, 0, 0, 0},
		},
		"a server that closes ends its runs": {
			Load{
				Servers: []Server{a}, Jobs: []Job{job("1", "A", 0, 2, 100), job("2", "A", 100, 2, 100)},
				Changes: []Change{{AtMs: 50, Server: "a1", State: Closed}},
			}, [6]int{2, 1, 1, 1, 1, 1},
		},
		"a server that shrinks": {
			Load{
				Servers: []Server{a}, Jobs: []Job{job("1", "A", 10, 2, 100)}, Changes: []Change{{AtMs: 0, Server: "a1", Cores: 40}},
			}, [6]int{1, 0, 0, 0, 0, 0},
		},
		"a server that is too slow": {
			Load{Servers: []Server{{ID: "a1", Domain: "A", Cores: 64, RunTimeFactor: 2}}, Jobs: []Job{job("1", "A", 0, 2, 100)}}, [6]int{},
		},
		// Only on the fast one, which the first leaves alone, is the second on time.
		"a fast server is kept for who needs it": {
			Load{
				Servers: []Server{a, {ID: "a2", Domain: "A", Cores: 64, RunTimeFactor: 2}},
				Jobs:    []Job{job("1", "A", 0, 2, 40), job("2", "A", 0, 2, 100)},
			}, [6]int{2, 2, 2, 2, 2, 2},
		},
		// From 20 on: the short one ends at 30, by 37, the long one at 130, by 171. By the
		// declared run times, the long one comes first, and the short one can't start before 120.
		"run times that were declared wrongly": {
			Load{
				Servers: []Server{a}, Jobs: []Job{misjudged("1", 0, 20, 20), misjudged("long", 1, 10, 100), misjudged("short", 2, 100, 10)},
			}, [6]int{3, 3, 3, 3, 2, 2},
		},
		// One of p's jobs earns half as much as q's only one, for the same core-seconds.
		"who earns the least is dropped": {
			Load{
				Servers: []Server{a},
				Jobs: []Job{
					inQueue("p", job("1", "A", 0, 2, 100)), inQueue("p", job("2", "A", 60, 2, 100)), job("3", "A", 61, 2, 100),
				},
			}, [6]int{2, 2, 2, 2, 2, 2},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			res, err := Compare(t.Context(), &tt.load, 1, 1)
			if err != nil {
				t.Fatal(err)
			}
			for i, want := range tt.want {
				if got := int(math.Round(res.Total.OnTime[i] * float64(len(tt.load.Jobs)))); got != want {
					t.Errorf("%s: %d jobs on time, want %d", res.Policies[i], got, want)
				}
			}
		})
	}
}

// TestServersAreNotOverfilled plays drawn loads: what has run fits into the servers, and the
// losses add up.
func TestServersAreNotOverfilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLoad(t)
		for i := range Policies {
			for _, o := range Policies[i].Orders {
				ran, end := 0.0, 0.0
				for _, j := range play(l, &Policies[i], o, runTimes(l, 1)) {
					if j.finished {
						ran += j.work
						end = max(end, j.endedAt.Seconds())
					}
				}
				room := 0.0
				for _, s := range l.Servers {
					room += s.Cores
				}
				if ran > room*end+1e-6 {
					t.Fatalf("%s, %s: %.1f core-seconds ran in %.1f", Policies[i].Name, o.Name, ran, room*end)
				}
			}
		}
		res, err := Compare(context.Background(), l, 1, 1)
		if err != nil {
			t.Fatal(err)
		}
		sum := 0.0
		for _, n := range res.Total.Losses() {
			sum += n
		}
		if want := res.Total.OnTime[0] - res.Total.Observed; math.Abs(sum-want) > 1e-9 {
			t.Fatalf("the losses add up to %f, want %f", sum, want)
		}
	})
}

func drawLoad(t *rapid.T) *Load {
	l := &Load{Observed: true}
	for i := range rapid.IntRange(1, 4).Draw(t, "servers") {
		l.Servers = append(l.Servers, Server{
			ID: fmt.Sprint("s", i), Domain: rapid.SampledFrom([]string{"A", "B"}).Draw(t, "domain"), Cores: float64(rapid.IntRange(20, 100).Draw(t, "cores")),
		})
	}
	for i := range rapid.IntRange(1, 30).Draw(t, "jobs") {
		j := job(fmt.Sprint(i), "A", float64(10*i), rapid.IntRange(1, 6).Draw(t, "tasks"), float64(rapid.IntRange(1, 100).Draw(t, "ms")))
		j.Cores = float64(rapid.IntRange(1, 40).Draw(t, "need"))
		j.Outcome = rapid.SampledFrom([]Outcome{OnTime, Late, Refused, Failed}).Draw(t, "outcome")
		l.Jobs = append(l.Jobs, j)
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "changes") {
		l.Changes = append(l.Changes, Change{
			AtMs: float64(50 * i), Server: l.Servers[0].ID, State: rapid.SampledFrom([]State{Up, Closed, Down}).Draw(t, "state"),
		})
	}
	return l
}

func write(t *testing.T, name, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestLoadFileRoundTrip(t *testing.T) {
	want := &Load{
		Servers:  []Server{{ID: "a1", Domain: "A", Cores: 64, RunTimeFactor: 1.3}},
		Changes:  []Change{{AtMs: 5, Server: "a1", State: Down}, {AtMs: 9, Server: "a1", State: Up, Cores: 30}},
		Jobs:     []Job{job("1", "A", 0, 2, 100), {ID: "2", AtMs: 3, Domain: "B", Queue: "p", Tasks: 1, Cores: 1.5, Stretch: 1.6, TargetMs: 60, Outcome: Refused}},
		Observed: true,
	}
	var b bytes.Buffer
	if err := WriteFile(&b, want); err != nil {
		t.Fatal(err)
	}
	got, problems, err := Read([]string{write(t, "load.jsonl", b.String())})
	if err != nil || len(problems) > 0 {
		t.Fatal(err, problems)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

const (
	header     = `{"Format":"guavayoke-load","Version":1}` + "\n"
	serverLine = `{"Server":{"ID":"a1","Domain":"A","Cores":64}}` + "\n"
	jobLine    = `{"Job":{"ID":"1","AtMs":0,"Domain":"A","Queue":"q","Tasks":2,"Cores":32,"RunMs":100,"Stretch":1,"TargetMs":50}}` + "\n"
)

// logLines are the start of two hosts, a server and two jobs, of which the second is refused.
var logLines = []string{
	"-5 a1 Time=2026-12-01T00:00:00.000Z Level=info Event=DaemonStarted Name=a1 Incarnation=i1 FailureDomain=A",
	"-5 b1 Time=2026-12-01T00:00:00.000Z Level=info Event=DaemonStarted Name=b1 Incarnation=i2 FailureDomain=B",
	"-4 a1 Time=2026-12-01T00:00:01.000Z Level=info Event=ServerListed Server=s1 Address=x CPUMilli=64000",
	"-4 a1 Time=2026-12-01T00:00:01.000Z Level=info Event=ServerAcquired Server=s1 FencingToken=7",
	"1 b1 Time=2026-12-01T00:00:05.000Z Level=info Event=JobReceived Job=x1 Queue=q Version=1 Steps=1 Tasks=2 CPUMilli=27000 EstimateMs=50 BudgetMs=1500",
	"1.1 a1 Time=2026-12-01T00:00:05.100Z Level=info Event=JobEnded Job=x1 Queue=q Outcome=Completed AgeMs=95 ObjectiveMs=140 CriticalPathMs=50 " +
		"FirstStartMs=5 LastStartMs=5 Tasks=2 Starts=2 Queued=1 Saturated=false Server=s1 RunMs=80 LongestRunMs=90",
	"1.1 b1 Time=2026-12-01T00:00:05.100Z Level=info Event=JobAnswered Job=x1 Queue=q Outcome=Completed AgeMs=100 Offers=1",
	"1.2 b1 Time=2026-12-01T00:00:05.200Z Level=info Event=JobReceived Job=x2 Queue=q Version=1 Steps=1 Tasks=1 CPUMilli=27000 EstimateMs=40 BudgetMs=1500",
	"1.3 a1 Time=2026-12-01T00:00:05.300Z Level=info Event=JobEnded Job=x2 Queue=q Outcome=Refused AgeMs=95 ObjectiveMs=124 CriticalPathMs=40 " +
		"FirstStartMs=-1 LastStartMs=-1 Tasks=1 Starts=0 Queued=1 Saturated=false Server= RunMs=0 LongestRunMs=0",
	"1.3 b1 Time=2026-12-01T00:00:05.300Z Level=info Event=JobAnswered Job=x2 Queue=q Outcome=Refused AgeMs=100 Offers=1",
	"1.5 b1 Time=2026-12-01T00:00:05.500Z Level=info Event=ServerUnresponsive Server=s1 Verdict=Unknown Runs=0",
	"1.6 a1 Time=2026-12-01T00:00:05.600Z Level=info Event=ServerUnresponsive Server=s1 Verdict=Unknown Runs=0",
}

func TestLoadOfLog(t *testing.T) {
	got, problems, err := Read([]string{write(t, "all.log", strings.Join(logLines, "\n")+"\n")})
	if err != nil || len(problems) > 0 {
		t.Fatal(err, problems)
	}
	for i := range got.Jobs {
		got.Jobs[i].Stretch, got.Jobs[i].TargetMs = math.Round(1000*got.Jobs[i].Stretch)/1000, math.Round(1000*got.Jobs[i].TargetMs)/1000
	}
	want := &Load{
		Servers: []Server{{ID: "s1", Domain: "A", Cores: 64}},
		// Only its owner says what a server does.
		Changes: []Change{{AtMs: 0, Server: "s1", State: Up}, {AtMs: 600, Server: "s1", State: Down}},
		Jobs: []Job{
			{
				ID: "x1", Domain: "B", Queue: "q", Tasks: 2, Cores: 27, EstimateMs: 50, RunMs: 80, LongestRunMs: 90, Stretch: 1.6, TargetMs: 60,
				Outcome: OnTime,
			},
			{ID: "x2", AtMs: 200, Domain: "B", Queue: "q", Tasks: 1, Cores: 27, EstimateMs: 40, Stretch: 1.6, TargetMs: 60, Outcome: Refused},
		},
		Observed: true,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

// TestBadInput checks that each line that can't be read is named and the rest is played.
func TestBadInput(t *testing.T) {
	good := header + serverLine + jobLine
	tests := map[string]struct {
		content string
		// problem is a part of the only problem, jobs what was read beside it.
		problem string
		jobs    int
	}{
		"load":              {good, "", 1},
		"cut load":          {good + `{"Job":{"ID":"2","AtMs":0,"Dom`, "load:4: the line is cut", 1},
		"other version":     {strings.Replace(good, `"Version":1`, `"Version":2`, 1), `load:1: want guavayoke-load version 1, not "guavayoke-load" version 2`, 0},
		"unknown field":     {header + serverLine + strings.Replace(jobLine, "Tasks", "Width", 1) + jobLine, "load:3: the line is cut or no line of a load file", 1},
		"no tasks":          {header + serverLine + strings.Replace(jobLine, `"Tasks":2`, `"Tasks":0`, 1), "load:3: job:", 0},
		"server twice":      {header + serverLine + serverLine + jobLine, "load:3: server a1 is listed twice", 1},
		"change of nothing": {good + `{"Change":{"AtMs":1,"Server":"zz","State":"Down"}}`, "load:4: change of the unknown server zz", 1},
		"empty":             {"", "load:1: the file is empty", 0},
		"log":               {strings.Join(logLines, "\n"), "", 2},
		"cut log":           {strings.Join(logLines, "\n") + "\n2 b1 Time=2026-12-01T00:00:05.500Z Level=info Event=JobReceived Job=x3 Que", "load:13: the line of a daemon is cut", 2},
		"log of others":     {"hello\n" + strings.Join(logLines, "\n"), "", 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, problems, err := Read([]string{write(t, "load", tt.content)})
			if err != nil {
				t.Fatal(err)
			}
			if len(l.Jobs) != tt.jobs {
				t.Errorf("%d jobs were read, want %d", len(l.Jobs), tt.jobs)
			}
			if tt.problem == "" && len(problems) > 0 || tt.problem != "" && (len(problems) != 1 || !strings.HasPrefix(problems[0].String(), tt.problem)) {
				t.Errorf("got the problems %v, want %q", problems, tt.problem)
			}
		})
	}
}

func TestMainExitCodes(t *testing.T) {
	good, page := write(t, "load", header+serverLine+jobLine), filepath.Join(t.TempDir(), "page.html")
	tests := map[string]struct {
		args []string
		code int
		out  string
	}{
		"text":      {[]string{"-seeds", "2", good}, exitOK, "SHARE ON TIME"},
		"json":      {[]string{"-output", "json", good}, exitOK, `"Policies"`},
		"page":      {[]string{"-html", page, good}, exitOK, "SHARE ON TIME"},
		"no seeds":  {[]string{"-seeds", "0", good}, exitUsage, ""},
		"bad form":  {[]string{"-output", "xml", good}, exitUsage, ""},
		"twice":     {[]string{good, good}, exitUsage, ""},
		"no file":   {[]string{filepath.Join(t.TempDir(), "none")}, exitFailed, ""},
		"no jobs":   {[]string{write(t, "empty", header)}, exitFailed, ""},
		"bad flag":  {[]string{"-nope"}, exitUsage, ""},
		"two kinds": {[]string{good, write(t, "a.log", logLines[0])}, exitFailed, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			if code := Main(tt.args, &out, &errOut); code != tt.code || !strings.Contains(out.String(), tt.out) {
				t.Errorf("exit code %d, want %d; output:\n%s%s", code, tt.code, out.String(), errOut.String())
			}
			if tt.code != exitOK && !strings.HasPrefix(errOut.String(), "guavayoke-load: ") && name != "bad flag" {
				t.Errorf("no error: %q", errOut.String())
			}
		})
	}
	b, err := os.ReadFile(page)
	if err != nil || !bytes.Contains(b, []byte("<svg")) || bytes.Contains(b, []byte("http://")) && !bytes.Contains(b, []byte("www.w3.org")) {
		t.Errorf("the page is not self-contained: %v", err)
	}
}

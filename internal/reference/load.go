// Package reference says how far callers were from the best that could have been done. It
// plays a load in virtual time through reference policies, queues that know more than an
// owner can or that have no faults, and compares what they would have served with what
// callers got.
//
// A load comes from a file (load.go) or from the logs of daemons (fromlog.go). room.go has
// the servers and the queue of a policy, simulate.go plays the load, policies.go says what
// each policy knows, report.go counts and compares.
package reference

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/go-playground/validator/v10"
)

// Load is what callers asked for, and the servers that were there to run it. Times count
// from the start of the load.
type Load struct {
	Servers []Server
	// Changes are in order of time, Jobs in order of arrival.
	Changes []Change
	Jobs    []Job
	// Observed reports whether the outcomes of the jobs are known.
	Observed bool
}

// Server is a backend server.
type Server struct {
	ID     string `validate:"required"`
	Domain string `validate:"required"`
	// Cores is what its tasks may use together.
	Cores float64 `validate:"gt=0"`
	// RunTimeFactor is the run time of a task there, as a multiple of the task's run time;
	// 0 means 1.
	RunTimeFactor float64 `json:",omitempty" validate:"gte=0"`
}

// State says what a server does.
type State string

// The states of a server.
const (
	// Up means that it runs tasks.
	Up State = "Up"
	// Closed means that it ends its runs and starts none.
	Closed State = "Closed"
	// Down means that its runs are lost.
	Down State = "Down"
)

// Change is a change of a server.
type Change struct {
	AtMs   float64
	Server string `validate:"required"`
	// State is empty if it stays as it is.
	State State `json:",omitempty" validate:"omitempty,oneof=Up Closed Down"`
	// Cores and RunTimeFactor are as in Server; 0 means as before.
	Cores         float64 `json:",omitempty" validate:"gte=0"`
	RunTimeFactor float64 `json:",omitempty" validate:"gte=0"`
}

// Outcome is what the caller of a job got.
type Outcome string

// The outcomes. Failed means an error, no answer, or a caller that left.
const (
	OnTime  Outcome = "OnTime"
	Late    Outcome = "Late"
	Refused Outcome = "Refused"
	Failed  Outcome = "Failed"
)

// Job is a job of one step. A job is on time if all its tasks have ended within its latency
// objective, which is Stretch times the longest run time and TargetMs.
type Job struct {
	ID     string `validate:"required"`
	AtMs   float64
	Domain string `validate:"required"`
	Queue  string `validate:"required"`
	Tasks  int    `validate:"gt=0,lte=10000"`
	// Cores is what one task needs.
	Cores float64 `validate:"gte=0"`
	// EstimateMs is the declared run time of a task, 0 if none was declared.
	EstimateMs float64 `json:",omitempty" validate:"gte=0"`
	// RunMs is the mean run time of its tasks, LongestRunMs that of the longest. 0 means not
	// known: it is drawn from those of other jobs of the queue.
	RunMs        float64 `json:",omitempty" validate:"gte=0"`
	LongestRunMs float64 `json:",omitempty" validate:"gte=0"`
	Stretch      float64 `validate:"gte=0"`
	TargetMs     float64 `validate:"gte=0"`
	// Outcome is empty if it is not known.
	Outcome Outcome `json:",omitempty" validate:"omitempty,oneof=OnTime Late Refused Failed"`
}

// The header of a load file.
const (
	fileFormat  = "guavayoke-load"
	fileVersion = 1
)

// fileLine is a line of a load file, which is in JSON Lines. The first line has Format and
// Version, each other one of the other fields.
type fileLine struct {
	Format  string  `json:",omitempty"`
	Version int     `json:",omitempty"`
	Server  *Server `json:",omitempty"`
	Change  *Change `json:",omitempty"`
	Job     *Job    `json:",omitempty"`
}

// Problem is what was wrong with a line of input, which was left out.
type Problem struct {
	Source string
	// Line is the number of the first such line, 0 if it is not a matter of one line; Count
	// is how many there are.
	Line, Count int
	Text        string
}

// String returns the problem as an error message.
func (p Problem) String() string {
	more := ""
	if p.Count > 1 {
		more = fmt.Sprintf(" (and %d more)", p.Count-1)
	}
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s%s", p.Source, p.Text, more)
	}
	return fmt.Sprintf("%s:%d: %s%s", p.Source, p.Line, p.Text, more)
}

// problems collects problems, equal ones of a source together.
type problems struct {
	list  []Problem
	index map[string]int
}

func (p *problems) add(source string, line int, text string) {
	key := source + "\x00" + text
	if i, ok := p.index[key]; ok {
		p.list[i].Count++
		return
	}
	if p.index == nil {
		p.index = map[string]int{}
	}
	p.index[key] = len(p.list)
	p.list = append(p.list, Problem{source, line, 1, text})
}

// maxLine bounds a line of input, in bytes.
const maxLine = 64 << 10

// isLoadFile reports whether the first line of an input is the header of a load file.
func isLoadFile(first []byte) bool {
	return bytes.HasPrefix(bytes.TrimSpace(first), []byte("{")) && bytes.Contains(first, []byte(`"Format"`))
}

// eachLine calls add with each line and its number. A longer line than maxLine is cut.
func eachLine(in io.Reader, add func(number int, line []byte)) error {
	r := bufio.NewReaderSize(in, maxLine)
	for number := 1; ; number++ {
		line, tooLong, err := r.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		add(number, line)
		for tooLong && err == nil {
			_, tooLong, err = r.ReadLine()
		}
	}
}

// fileReader reads the lines of a load file.
type fileReader struct {
	source   string
	load     *Load
	problems *problems
	check    *validator.Validate
	// stopped is set once nothing more can be read.
	stopped bool
	servers map[string]bool
}

func newFileReader(source string, l *Load, p *problems) *fileReader {
	return &fileReader{source: source, load: l, problems: p, check: validator.New(validator.WithRequiredStructEnabled()), servers: map[string]bool{}}
}

func (r *fileReader) add(number int, text []byte) {
	if r.stopped || len(bytes.TrimSpace(text)) == 0 {
		return
	}
	var line fileLine
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&line); err != nil {
		r.problems.add(r.source, number, "the line is cut or no line of a load file: "+err.Error())
		return
	}
	if number == 1 {
		if line.Format != fileFormat || line.Version != fileVersion {
			r.stopped = true
			r.problems.add(r.source, number, fmt.Sprintf("want %s version %d, not %q version %d", fileFormat, fileVersion, line.Format, line.Version))
		}
		return
	}
	if err := r.addRecord(line); err != nil {
		r.problems.add(r.source, number, err.Error())
	}
}

func (r *fileReader) addRecord(line fileLine) error {
	switch {
	case line.Server != nil:
		if err := r.check.Struct(line.Server); err != nil {
			return fmt.Errorf("server: %w", err)
		}
		if r.servers[line.Server.ID] {
			return fmt.Errorf("server %s is listed twice", line.Server.ID)
		}
		r.servers[line.Server.ID] = true
		r.load.Servers = append(r.load.Servers, *line.Server)
	case line.Change != nil:
		if err := r.check.Struct(line.Change); err != nil {
			return fmt.Errorf("change: %w", err)
		}
		if !r.servers[line.Change.Server] {
			return fmt.Errorf("change of the unknown server %s", line.Change.Server)
		}
		r.load.Changes = append(r.load.Changes, *line.Change)
	case line.Job != nil:
		if err := r.check.Struct(line.Job); err != nil {
			return fmt.Errorf("job: %w", err)
		}
		r.load.Jobs = append(r.load.Jobs, *line.Job)
		r.load.Observed = r.load.Observed || line.Job.Outcome != ""
	default:
		return errors.New("no server, change or job")
	}
	return nil
}

// WriteFile writes a load as a load file.
func WriteFile(w io.Writer, l *Load) error {
	out := bufio.NewWriter(w)
	e := json.NewEncoder(out)
	lines := []fileLine{{Format: fileFormat, Version: fileVersion}}
	for i := range l.Servers {
		lines = append(lines, fileLine{Server: &l.Servers[i]})
	}
	for i := range l.Changes {
		lines = append(lines, fileLine{Change: &l.Changes[i]})
	}
	for i := range l.Jobs {
		lines = append(lines, fileLine{Job: &l.Jobs[i]})
	}
	for i := range lines {
		if err := e.Encode(&lines[i]); err != nil {
			return fmt.Errorf("write load: %w", err)
		}
	}
	if err := out.Flush(); err != nil {
		return fmt.Errorf("write load: %w", err)
	}
	return nil
}

// milliseconds returns a number of milliseconds as a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

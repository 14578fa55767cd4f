package reference

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"math/bits"
	"runtime"
	"slices"
	"strconv"

	"gonum.org/v1/gonum/stat"
)

// Row compares what became of some jobs. Shares are shares of Asked.
type Row struct {
	Name  string
	Asked int
	// OnTime has the share of jobs on time under each of Policies, in their order, as the mean
	// over the seeds.
	OnTime []float64
	// Observed is the share of jobs on time as callers saw it, the others what became of the
	// rest. They are 0 if the load doesn't say.
	Observed, Late, Refused, Failed float64
}

// Losses returns what was lost, as shares of Asked, in the order of losses. What was lost to
// the dispatcher includes all faults of hosts and of the network.
func (r *Row) Losses() []float64 {
	share := func(name string) float64 {
		i := slices.IndexFunc(Policies, func(p Policy) bool { return p.Name == name })
		if i < 0 {
			return r.Observed
		}
		return r.OnTime[i]
	}
	list := make([]float64, len(losses))
	for i, l := range losses {
		list[i] = share(l.from) - share(l.to)
	}
	return list
}

// Table has the rows of a dimension.
type Table struct {
	Dimension string
	Rows      []Row
}

// Result compares a load under all policies.
type Result struct {
	Jobs, Servers, Changes int
	Seeds                  int
	// Policies are the names of the policies; Orders has the order that counted, Deviations the
	// standard deviation of the share of all jobs over the seeds, of each. Unknown is the share
	// of the jobs whose run times were drawn.
	Policies   []string
	Orders     []string
	Deviations []float64
	Unknown    float64
	Observed   bool
	// Total has all jobs, QueuesAlike the mean over the queues.
	Total, QueuesAlike Row
	Tables             []Table
	Problems           []string
}

// dimensions are the ways in which jobs are told apart.
var dimensions = []struct {
	name string
	key  func(j *Job) string
}{
	{"Queue", func(j *Job) string { return j.Queue }},
	{"Tasks", func(j *Job) string { return widthRange(j.Tasks) }},
	{"Queue and tasks", func(j *Job) string { return j.Queue + " " + widthRange(j.Tasks) }},
	{"Domain", func(j *Job) string { return j.Domain }},
	{"Second", func(j *Job) string { return fmt.Sprintf("%4d", int(math.Floor(j.AtMs/1000))) }},
}

// widthRange returns the range between powers of two that a number of tasks is in.
func widthRange(tasks int) string {
	if tasks <= 2 {
		return strconv.Itoa(tasks)
	}
	high := 1 << bits.Len(uint(tasks-1))
	return fmt.Sprintf("%d-%d", high/2+1, high)
}

// Compare plays a load through all policies, with run times drawn from seed on for the given
// number of seeds. Of the orders of a policy, the first seed shows the best. It plays as many
// simulations at a time as there are processors, and ends early when ctx does.
func Compare(ctx context.Context, l *Load, seed uint64, seeds int) (*Result, error) {
	if len(l.Jobs) == 0 || len(l.Servers) == 0 {
		return nil, fmt.Errorf("the load has %d jobs and %d servers; both are needed", len(l.Jobs), len(l.Servers))
	}
	res := &Result{Jobs: len(l.Jobs), Servers: len(l.Servers), Changes: len(l.Changes), Seeds: seeds, Observed: l.Observed}
	var first []simulationKey
	for p := range Policies {
		for o := range Policies[p].Orders {
			first = append(first, simulationKey{p, o, seed})
		}
	}
	outcomes, err := playAll(ctx, l, first)
	if err != nil {
		return nil, err
	}
	best := make([]simulationKey, len(Policies))
	for _, k := range first {
		if k.order == 0 || outcomes[k].earned > outcomes[best[k.policy]].earned {
			best[k.policy] = k
		}
	}
	var further []simulationKey
	for n := 1; n < seeds; n++ {
		for _, k := range best {
			further = append(further, simulationKey{k.policy, k.order, seed + uint64(n)})
		}
	}
	more, err := playAll(ctx, l, further)
	if err != nil {
		return nil, err
	}
	maps.Copy(outcomes, more)
	onTime := make([][]float64, len(Policies))
	for p, k := range best {
		onTime[p] = make([]float64, len(l.Jobs))
		shares := make([]float64, seeds)
		for n := range seeds {
			k.seed = seed + uint64(n)
			for i, ok := range outcomes[k].onTime {
				if ok {
					onTime[p][i] += 1 / float64(seeds)
					shares[n] += 1 / float64(len(l.Jobs))
				}
			}
		}
		d := 0.0
		if seeds > 1 {
			d = stat.StdDev(shares, nil)
		}
		res.Policies, res.Orders = append(res.Policies, Policies[p].Name), append(res.Orders, Policies[p].Orders[k.order].Name)
		res.Deviations = append(res.Deviations, d)
	}
	for i := range l.Jobs {
		if l.Jobs[i].RunMs <= 0 {
			res.Unknown += 1 / float64(len(l.Jobs))
		}
	}
	res.tally(l, onTime)
	return res, nil
}

// simulationKey names a simulation: the positions of the policy and of its order, and the seed
// of the run times that are not known.
type simulationKey struct {
	policy, order int
	seed          uint64
}

// simulationOutcome is which jobs were on time, and what they earned together.
type simulationOutcome struct {
	key    simulationKey
	onTime []bool
	earned float64
}

// playAll plays simulations side by side and returns their outcomes.
func playAll(ctx context.Context, l *Load, keys []simulationKey) (map[simulationKey]simulationOutcome, error) {
	next, done := make(chan simulationKey), make(chan simulationOutcome)
	workers := min(runtime.GOMAXPROCS(0), max(len(keys), 1))
	ended := make(chan error, workers)
	for range workers {
		go func(ctx context.Context) {
			for k := range next {
				o := playOne(l, k)
				select {
				case done <- o:
				case <-ctx.Done():
					ended <- ctx.Err()
					return
				}
			}
			ended <- nil
		}(ctx)
	}
	outcomes := map[simulationKey]simulationOutcome{}
	for sent := 0; len(outcomes) < len(keys) && ctx.Err() == nil; {
		var to chan simulationKey
		var k simulationKey
		if sent < len(keys) {
			to, k = next, keys[sent]
		}
		select {
		case to <- k:
			sent++
		case o := <-done:
			outcomes[o.key] = o
		case <-ctx.Done():
		}
	}
	close(next)
	var err error
	for range workers {
		err = cmp.Or(err, <-ended)
	}
	if err == nil {
		err = ctx.Err()
	}
	if err != nil {
		return nil, fmt.Errorf("simulations: %w", err)
	}
	return outcomes, nil
}

func playOne(l *Load, k simulationKey) simulationOutcome {
	p := &Policies[k.policy]
	o := simulationOutcome{key: k, onTime: make([]bool, len(l.Jobs))}
	for i, j := range play(l, p, p.Orders[k.order], runTimes(l, k.seed)) {
		if j.onTime() {
			o.onTime[i] = true
			o.earned += j.credit
		}
	}
	return o
}

func (res *Result) tally(l *Load, onTime [][]float64) {
	res.Total = newRow("all")
	for i := range l.Jobs {
		res.Total.add(&l.Jobs[i], i, onTime)
	}
	for _, d := range dimensions {
		rows := map[string]*Row{}
		for i := range l.Jobs {
			key := d.key(&l.Jobs[i])
			if rows[key] == nil {
				r := newRow(key)
				rows[key] = &r
			}
			rows[key].add(&l.Jobs[i], i, onTime)
		}
		t := Table{Dimension: d.name}
		for _, r := range rows {
			r.divide()
			t.Rows = append(t.Rows, *r)
		}
		slices.SortFunc(t.Rows, func(a, b Row) int { return cmp.Compare(a.Name, b.Name) })
		res.Tables = append(res.Tables, t)
	}
	res.Total.divide()
	res.QueuesAlike = newRow("queues alike")
	queues := res.Tables[0].Rows
	for _, q := range queues {
		n := float64(len(queues))
		res.QueuesAlike.Asked += q.Asked
		for p := range q.OnTime {
			res.QueuesAlike.OnTime[p] += q.OnTime[p] / n
		}
		res.QueuesAlike.Observed += q.Observed / n
		res.QueuesAlike.Late += q.Late / n
		res.QueuesAlike.Refused += q.Refused / n
		res.QueuesAlike.Failed += q.Failed / n
	}
}

func newRow(name string) Row { return Row{Name: name, OnTime: make([]float64, len(Policies))} }

func (r *Row) add(j *Job, index int, onTime [][]float64) {
	r.Asked++
	for p := range onTime {
		r.OnTime[p] += onTime[p][index]
	}
	switch j.Outcome {
	case OnTime:
		r.Observed++
	case Late:
		r.Late++
	case Refused:
		r.Refused++
	case Failed:
		r.Failed++
	}
}

// divide turns the counts of a row into shares.
func (r *Row) divide() {
	n := float64(max(r.Asked, 1))
	for p := range r.OnTime {
		r.OnTime[p] /= n
	}
	r.Observed, r.Late, r.Refused, r.Failed = r.Observed/n, r.Late/n, r.Refused/n, r.Failed/n
}

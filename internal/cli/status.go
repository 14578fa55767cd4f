package cli

import (
	"cmp"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"guavayoke/internal/httpjson"
	"guavayoke/internal/kvstore"
	"guavayoke/internal/operator"
	"guavayoke/internal/peer"
)

const statusPollInterval = 100 * time.Millisecond

var statusCommand = Command{
	Name: "status", Args: "",
	Doc:     "Shows every daemon with its configuration version and the states of its members. With -wait, waits until the accepted version is in force on every daemon that can be reached, and shows how long that took on each.",
	Example: "guavayoke status -env production -wait -timeout 11s",
	Flags: func(fs *flag.FlagSet) func(*invocation) error {
		wait := fs.Bool("wait", false, "wait until the accepted version is in force on every daemon that can be reached")
		return func(c *invocation) error { return c.status(*wait) }
	},
}

// hostStatus is the status of one daemon, a line of the table.
type hostStatus struct {
	Address string
	// Error says why the daemon did not answer; it is empty if it did.
	Error string `json:",omitempty"`
	// InForceAfterMs is the time, in milliseconds, from the acceptance of the
	// version, or the later start of the daemon, until the version was in force
	// there. It compares the clocks of the accepting operator and of the host.
	InForceAfterMs int64
	Status         operator.Status
}

// environmentStatus is the output of the status command.
type environmentStatus struct {
	Environment string
	// Accepted is the accepted version in the store, or 0 if the store did not answer.
	Accepted   uint64
	AcceptedMs int64
	StoreError string `json:",omitempty"`
	InForce    bool
	Hosts      []hostStatus
}

// queryDaemons queries the status of all daemons of an environment: those in the settings
// and, in further rounds, the members that the daemons report. It returns all of them,
// including those that did not answer, sorted by name and address.
func queryDaemons(env Environment) []hostStatus {
	queried := map[string]bool{}
	var all []hostStatus
	next := env.OperatorAddresses
	for len(next) > 0 {
		round := make([]hostStatus, 0, len(next))
		for _, a := range next {
			if !queried[a] {
				queried[a] = true
				round = append(round, hostStatus{Address: a})
			}
		}
		var wg sync.WaitGroup
		for i := range round {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if err := httpjson.Get(round[i].Address, "/v1/status", callTimeout, &round[i].Status); err != nil {
					round[i].Error = err.Error()
				}
			}()
		}
		wg.Wait()
		all = append(all, round...)
		next = operatorAddressesOf(round)
	}
	slices.SortFunc(all, func(a, b hostStatus) int {
		return cmp.Or(cmp.Compare(a.Status.Name, b.Status.Name), cmp.Compare(a.Address, b.Address))
	})
	return all
}

// operatorAddressesOf returns the operator addresses of the members that hosts report
// and don't consider dead.
func operatorAddressesOf(hosts []hostStatus) []string {
	var out []string
	for _, h := range hosts {
		for _, m := range h.Status.Members {
			if m.State != peer.Dead.String() && m.Operator != "" {
				out = append(out, m.Operator)
			}
		}
	}
	return out
}

func (c *invocation) status(wait bool) error {
	env, key, err := c.environment(c.environmentName)
	if err != nil {
		return err
	}
	for {
		st := c.readStatus(env, key)
		if !wait || st.InForce {
			return c.reportStatus(st, wait)
		}
		select {
		case <-time.After(statusPollInterval):
		case <-c.ctx.Done():
			return c.reportStatus(st, wait)
		}
	}
}

// reportStatus prints the status and returns the error with which the command ends, if any.
func (c *invocation) reportStatus(st environmentStatus, wait bool) error {
	if err := c.print(st, func() { c.printStatus(st) }); err != nil {
		return err
	}
	reached := 0
	for _, h := range st.Hosts {
		if h.Error == "" {
			reached++
		}
	}
	if reached == 0 {
		return &exitError{ExitUnreachable, fmt.Errorf("no daemon of %s answered", st.Environment)}
	}
	if wait && !st.InForce {
		return &exitError{ExitNotInForce, fmt.Errorf("version %d is not in force on every host that can be reached", st.Accepted)}
	}
	return nil
}

// readStatus queries the store and the daemons. InForce of the result is true if every
// daemon that answered has the highest version that the store or a daemon reports.
func (c *invocation) readStatus(env Environment, key []byte) environmentStatus {
	st := environmentStatus{Environment: env.Name}
	accepted, _, err := kvstore.ReadAccepted(c.ctx, env.store(), key, env.Name)
	if err != nil {
		st.StoreError = err.Error()
	}
	st.Accepted, st.AcceptedMs = accepted.Record.Change.Version, accepted.Record.Change.AtMs
	st.Hosts = queryDaemons(env)
	target := st.Accepted
	for _, h := range st.Hosts {
		target = max(target, h.Status.Version)
	}
	st.InForce = target > 0
	for i := range st.Hosts {
		h := &st.Hosts[i]
		if h.Error != "" {
			continue
		}
		if h.Status.Version < target {
			st.InForce = false
		}
		if h.Status.Version == st.Accepted {
			h.InForceAfterMs = h.Status.AppliedMs - max(st.AcceptedMs, h.Status.StartedMs)
		}
	}
	return st
}

func (c *invocation) printStatus(st environmentStatus) {
	store := "answers"
	if st.StoreError != "" {
		store = st.StoreError
	}
	fmt.Fprintf(c.out, "%s: version %d accepted at %s, store: %s\n", st.Environment, st.Accepted, formatTime(st.AcceptedMs), store)
	printEvacuations(c.out, st.Hosts)
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tDOMAIN\tREADY\tVERSION\tAFTER MS\tTASKS\tMEMBERS\tADDRESS")
	for _, h := range st.Hosts {
		if h.Error != "" {
			fmt.Fprintf(w, "?\t?\t?\t?\t?\t?\t%s\t%s\n", h.Error, h.Address)
			continue
		}
		s := h.Status
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%d\t%d\t%s\t%s\n", s.Name, s.FailureDomain, s.Ready, s.Version, h.InForceAfterMs, s.InFlight, countStates(s.Members), h.Address)
	}
	_ = w.Flush()
	printShares(c.out, st.Hosts)
}

// printShares prints the shares of the queues at the owners, in cores.
func printShares(out io.Writer, hosts []hostStatus) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	header := "\nQUEUE\tDOMAIN\tPRIORITY\tSHARE\tIN USE\tBORROWS\tLENDS\tWAITING CORE S\tREFUSED\n"
	for _, h := range hosts {
		if h.Status.Worker == nil {
			continue
		}
		for _, q := range h.Status.Worker.Shares {
			fmt.Fprintf(w, "%s%s\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\n", header, q.Queue, h.Status.FailureDomain, q.Priority,
				q.Share, q.InUse, q.Borrowed, q.Lent, q.Waiting, q.Refused)
			header = ""
		}
	}
	_ = w.Flush()
}

// printEvacuations prints the evacuated failure domains as the daemon with the highest
// revision knows them, what still runs there, and which daemons don't know them.
func printEvacuations(out io.Writer, hosts []hostStatus) {
	var newest operator.Status
	for _, h := range hosts {
		if h.Error == "" && h.Status.EvacuationRevision > newest.EvacuationRevision {
			newest = h.Status
		}
	}
	for _, domain := range newest.EvacuatedDomains {
		running := "no owner reached"
		var unaware []string
		for _, h := range hosts {
			s := h.Status
			if h.Error != "" {
				continue
			}
			if !slices.Contains(s.EvacuatedDomains, domain) {
				unaware = append(unaware, s.Name)
			}
			if s.FailureDomain == domain && s.Worker != nil && s.Worker.Evacuation != nil {
				e := s.Worker.Evacuation
				running = fmt.Sprintf("for %d ms, %d tasks still run, %d jobs returned, %d lost", e.SinceMs, e.Running, e.Returned, e.Lost)
			}
		}
		fmt.Fprintf(out, "evacuated: %s at revision %d: %s", domain, newest.EvacuationRevision, running)
		if len(unaware) > 0 {
			fmt.Fprintf(out, "; not known to %s", strings.Join(unaware, ", "))
		}
		fmt.Fprintln(out)
	}
}

func countStates(members []operator.MemberStatus) string {
	counts := map[string]int{}
	for _, m := range members {
		counts[m.State]++
	}
	var parts []string
	for _, state := range []peer.State{peer.Alive, peer.Suspect, peer.Unreachable, peer.Dead} {
		if n := counts[state.String()]; n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, state))
		}
	}
	return strings.Join(parts, ", ")
}

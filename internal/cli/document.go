package cli

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"guavayoke/internal/platform"
	"guavayoke/pkg/document"
)

var validateCommand = Command{
	Name: "validate", Args: "FILE",
	Doc:     "Checks an environment document. Lists every fault with its path; nothing is sent.",
	Example: "guavayoke validate examples/raumwerk.json",
	Flags:   func(*flag.FlagSet) func(*call) error { return (*call).validate },
}

var diffCommand = Command{
	Name: "diff", Args: "FILE [OTHER]",
	Doc:     "Shows how a document differs from what is in force. With two files, how the second differs from the first.",
	Example: "guavayoke diff -env trial examples/raumwerk.json",
	Flags:   func(*flag.FlagSet) func(*call) error { return (*call).diff },
}

var proposeCommand = Command{
	Name: "propose", Args: "FILE",
	Doc:     "Stores a document for review. Prints its digest; nothing changes for callers.",
	Example: "guavayoke propose -env trial -note 'more slots' examples/raumwerk.json",
	Flags: func(fs *flag.FlagSet) func(*call) error {
		note := fs.String("note", "", "`text` for the history")
		return func(c *call) error { return c.propose(*note) }
	},
}

var reviewCommand = Command{
	Name: "review", Args: "[DIGEST]",
	Doc:     "Lists proposals, or shows what one would change. A digest may be shortened.",
	Example: "guavayoke review -env trial",
	Flags:   func(*flag.FlagSet) func(*call) error { return (*call).review },
}

var acceptCommand = Command{
	Name: "accept", Args: "DIGEST",
	Doc:     "Puts a proposal in force. Refused if another change came since the proposal: the difference is shown, and nothing is lost.",
	Example: "guavayoke accept -env trial 3fa9",
	Flags: func(fs *flag.FlagSet) func(*call) error {
		drop := fs.Bool("allow-drop", false, "permit that services or teams in force disappear")
		return func(c *call) error { return c.accept(*drop) }
	},
}

var promoteCommand = Command{
	Name: "promote", Args: "FROM TO",
	Doc:     "Puts the document in force in one environment in force in another, as the same bytes. The base version is the one in force in the second when the command starts.",
	Example: "guavayoke promote trial production",
	Flags: func(fs *flag.FlagSet) func(*call) error {
		drop := fs.Bool("allow-drop", false, "permit that services or teams in force disappear")
		note := fs.String("note", "", "`text` for the history")
		return func(c *call) error { return c.promote(*drop, *note) }
	},
}

var historyCommand = Command{
	Name: "history", Args: "",
	Doc:     "Lists the accepted changes of an environment, newest first.",
	Example: "guavayoke history -env production",
	Flags:   func(*flag.FlagSet) func(*call) error { return (*call).history },
}

func readDocument(file string) ([]byte, *document.Document, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, &usageError{err.Error()}
	}
	d, err := document.Decode(b)
	return b, d, err
}

func (c *call) validate() error {
	if err := c.wantArgs(1, "FILE"); err != nil {
		return err
	}
	b, d, err := readDocument(c.args[0])
	if err != nil {
		return err
	}
	out := struct {
		Name, Digest    string
		Services, Teams int
	}{d.Name, document.Digest(b), len(d.Services), len(d.Teams)}
	return c.print(out, func() {
		fmt.Fprintf(c.out, "%s is good: %d services, %d teams, digest %s\n", d.Name, out.Services, out.Teams, out.Digest)
	})
}

func (c *call) diff() error {
	if len(c.args) != 1 && len(c.args) != 2 {
		return c.wantArgs(1, "FILE [OTHER]")
	}
	_, first, err := readDocument(c.args[0])
	if err != nil {
		return err
	}
	from, to := first, first
	if len(c.args) == 2 {
		if _, to, err = readDocument(c.args[1]); err != nil {
			return err
		}
	} else {
		env, key, err := c.environment(c.env)
		if err != nil {
			return err
		}
		current, _, err := platform.ReadAccepted(c.ctx, env.store(), key, env.Name)
		if err != nil {
			return unreachable(err)
		}
		from = current.Document
	}
	changes := document.Diff(from, to)
	return c.print(changes, func() { printChanges(c.out, changes) })
}

// unreachable marks a failure of the platform, unless the record is broken.
func unreachable(err error) error {
	var broken *platform.RecordError
	var problems *document.ProblemsError
	if errors.As(err, &broken) || errors.As(err, &problems) {
		return err
	}
	return &codeError{ExitUnreachable, err}
}

func (c *call) propose(note string) error {
	if err := c.wantArgs(1, "FILE"); err != nil {
		return err
	}
	b, _, err := readDocument(c.args[0])
	if err != nil {
		return err
	}
	env, key, err := c.environment(c.env)
	if err != nil {
		return err
	}
	p, err := platform.Propose(c.ctx, env.store(), key, env.Name, b, platform.Proposal{
		By: c.set.By, Note: note, AtMs: c.now().UnixMilli(),
	})
	if err != nil {
		return unreachable(err)
	}
	return c.print(p, func() {
		fmt.Fprintf(c.out, "proposed %s on version %d of %s\n", p.Digest, p.Base, env.Name)
	})
}

func (c *call) review() error {
	env, key, err := c.environment(c.env)
	if err != nil {
		return err
	}
	if len(c.args) == 0 {
		list, err := platform.ReadProposals(c.ctx, env.store(), key, env.Name)
		if err != nil {
			return unreachable(err)
		}
		return c.print(list, func() { c.printProposals(list) })
	}
	p, raw, err := c.proposal(env, key, c.args[0])
	if err != nil {
		return err
	}
	d, err := document.Decode(raw)
	if err != nil {
		return err
	}
	current, _, err := platform.ReadAccepted(c.ctx, env.store(), key, env.Name)
	if err != nil {
		return unreachable(err)
	}
	out := struct {
		Proposal platform.Proposal
		Current  uint64
		Changes  []document.Change
		Dropped  []string
	}{p, current.Record.Change.Version, document.Diff(current.Document, d), nil}
	if current.Document != nil {
		out.Dropped = document.Dropped(current.Document, d)
	}
	return c.print(out, func() {
		fmt.Fprintf(c.out, "%s by %s on version %d, in force is version %d\n", p.Digest, p.By, p.Base, out.Current)
		printChanges(c.out, out.Changes)
		if len(out.Dropped) > 0 {
			fmt.Fprintf(c.out, "drops %s\n", strings.Join(out.Dropped, ", "))
		}
	})
}

func (c *call) printProposals(list []platform.Proposal) {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DIGEST\tBASE\tBY\tAT\tNOTE")
	for _, p := range list {
		fmt.Fprintf(w, "%.12s\t%d\t%s\t%s\t%s\n", p.Digest, p.Base, p.By, clock(p.AtMs), p.Note)
	}
	_ = w.Flush()
}

func clock(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05") }

// proposal finds a proposal by the beginning of its digest.
func (c *call) proposal(env Environment, key []byte, prefix string) (platform.Proposal, []byte, error) {
	list, err := platform.ReadProposals(c.ctx, env.store(), key, env.Name)
	if err != nil {
		return platform.Proposal{}, nil, unreachable(err)
	}
	var found []platform.Proposal
	for _, p := range list {
		if strings.HasPrefix(p.Digest, prefix) {
			found = append(found, p)
		}
	}
	if len(found) != 1 {
		return platform.Proposal{}, nil, &usageError{fmt.Sprintf("%d proposals of %s begin with %q; see guavayoke review", len(found), env.Name, prefix)}
	}
	raw, err := platform.ReadProposed(c.ctx, env.store(), env.Name, found[0].Digest)
	if err != nil {
		return found[0], nil, unreachable(err)
	}
	return found[0], raw, nil
}

func (c *call) accept(allowDrop bool) error {
	if err := c.wantArgs(1, "DIGEST"); err != nil {
		return err
	}
	env, key, err := c.environment(c.env)
	if err != nil {
		return err
	}
	p, raw, err := c.proposal(env, key, c.args[0])
	if err != nil {
		return err
	}
	return c.putInForce(env, key, raw, p.Base, allowDrop, platform.Change{Note: p.Note})
}

func (c *call) promote(allowDrop bool, note string) error {
	if err := c.wantArgs(2, "FROM TO"); err != nil {
		return err
	}
	from, key, err := c.environment(c.args[0])
	if err != nil {
		return err
	}
	to, _, err := c.environment(c.args[1])
	if err != nil {
		return err
	}
	tried, _, err := platform.ReadAccepted(c.ctx, from.store(), key, from.Name)
	if err != nil {
		return unreachable(err)
	}
	if tried.Document == nil {
		return &usageError{"nothing is in force in " + from.Name}
	}
	current, _, err := platform.ReadAccepted(c.ctx, to.store(), key, to.Name)
	if err != nil {
		return unreachable(err)
	}
	return c.putInForce(to, key, tried.Record.Document, current.Record.Change.Version, allowDrop,
		platform.Change{Note: note, From: fmt.Sprintf("%s/%d", from.Name, tried.Record.Change.Version)})
}

func (c *call) putInForce(env Environment, key, raw []byte, base uint64, allowDrop bool, change platform.Change) error {
	change.WriteID = uuid.NewString()
	change.By = c.set.By
	change.AtMs = c.now().UnixMilli()
	done, err := platform.Accept(c.ctx, platform.AcceptConfig{
		Store: env.store(), Key: key, Environment: env.Name, Document: raw,
		Base: base, AllowDrop: allowDrop, Change: change,
	})
	if err != nil {
		return err
	}
	return c.print(done, func() {
		fmt.Fprintf(c.out, "version %d is accepted in %s, digest %s\n", done.Version, env.Name, done.Digest)
	})
}

func (c *call) history() error {
	env, key, err := c.environment(c.env)
	if err != nil {
		return err
	}
	current, _, err := platform.ReadAccepted(c.ctx, env.store(), key, env.Name)
	if err != nil {
		return unreachable(err)
	}
	list := []platform.Change{}
	if current.Document != nil {
		list = append(append(list, current.Record.Change), current.Record.History...)
	}
	return c.print(list, func() {
		w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "VERSION\tDIGEST\tBY\tAT\tFROM\tWRITE ID\tNOTE")
		for _, h := range list {
			fmt.Fprintf(w, "%d\t%.12s\t%s\t%s\t%s\t%s\t%s\n", h.Version, h.Digest, h.By, clock(h.AtMs), h.From, h.WriteID, h.Note)
		}
		_ = w.Flush()
	})
}

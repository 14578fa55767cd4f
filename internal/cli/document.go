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

	"guavayoke/internal/kvstore"
	"guavayoke/pkg/document"
)

var validateCommand = Command{
	Name: "validate", Args: "FILE",
	Doc:     "Checks an environment document. Lists every problem with its path; nothing is sent to the platform.",
	Example: "guavayoke validate examples/raumwerk.json",
	Flags:   func(*flag.FlagSet) func(*invocation) error { return (*invocation).validate },
}

var diffCommand = Command{
	Name: "diff", Args: "FILE [OTHER]",
	Doc:     "Shows how a document differs from the one in force. With two files, shows how the second differs from the first.",
	Example: "guavayoke diff -env trial examples/raumwerk.json",
	Flags:   func(*flag.FlagSet) func(*invocation) error { return (*invocation).diff },
}

var proposeCommand = Command{
	Name: "propose", Args: "FILE",
	Doc:     "Stores a document for review. Prints its digest; the configuration in force does not change.",
	Example: "guavayoke propose -env trial -note 'more slots' examples/raumwerk.json",
	Flags: func(fs *flag.FlagSet) func(*invocation) error {
		note := fs.String("note", "", "`text` to show in the history")
		return func(c *invocation) error { return c.propose(*note) }
	},
}

var reviewCommand = Command{
	Name: "review", Args: "[DIGEST]",
	Doc:     "Lists the proposals, or shows what one of them would change. A unique prefix of a digest is enough.",
	Example: "guavayoke review -env trial",
	Flags:   func(*flag.FlagSet) func(*invocation) error { return (*invocation).review },
}

var acceptCommand = Command{
	Name: "accept", Args: "DIGEST",
	Doc:     "Puts a proposal in force. Fails if another change was accepted after the proposal was made; the difference is then shown, and the proposal is kept.",
	Example: "guavayoke accept -env trial 3fa9",
	Flags: func(fs *flag.FlagSet) func(*invocation) error {
		allowDrop := fs.Bool("allow-drop", false, "allow a document that lacks services or teams that are in force")
		return func(c *invocation) error { return c.accept(*allowDrop) }
	},
}

var promoteCommand = Command{
	Name: "promote", Args: "FROM TO",
	Doc:     "Puts the document that is in force in the environment FROM in force in the environment TO, byte for byte. Fails if another change is accepted in TO after the command has read the version in force there.",
	Example: "guavayoke promote trial production",
	Flags: func(fs *flag.FlagSet) func(*invocation) error {
		allowDrop := fs.Bool("allow-drop", false, "allow a document that lacks services or teams that are in force")
		note := fs.String("note", "", "`text` to show in the history")
		return func(c *invocation) error { return c.promote(*allowDrop, *note) }
	},
}

var historyCommand = Command{
	Name: "history", Args: "",
	Doc:     "Lists the accepted changes of an environment, newest first.",
	Example: "guavayoke history -env production",
	Flags:   func(*flag.FlagSet) func(*invocation) error { return (*invocation).history },
}

func readDocument(file string) ([]byte, *document.Document, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, &usageError{err.Error()}
	}
	d, err := document.Decode(b)
	return b, d, err
}

func (c *invocation) validate() error {
	if err := c.requireArgs(1, "FILE"); err != nil {
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

func (c *invocation) diff() error {
	if len(c.args) != 1 && len(c.args) != 2 {
		return c.requireArgs(1, "FILE [OTHER]")
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
		env, key, err := c.environment(c.environmentName)
		if err != nil {
			return err
		}
		current, _, err := kvstore.ReadAccepted(c.ctx, env.store(), key, env.Name)
		if err != nil {
			return unreachable(err)
		}
		from = current.Document
	}
	changes := document.Diff(from, to)
	return c.print(changes, func() { printChanges(c.out, changes) })
}

// unreachable returns err with the exit code ExitUnreachable, unless err says that the
// platform returned an invalid record or document.
func unreachable(err error) error {
	var invalidRecord *kvstore.RecordError
	var problems *document.ProblemsError
	if errors.As(err, &invalidRecord) || errors.As(err, &problems) {
		return err
	}
	return &exitError{ExitUnreachable, err}
}

func (c *invocation) propose(note string) error {
	if err := c.requireArgs(1, "FILE"); err != nil {
		return err
	}
	b, _, err := readDocument(c.args[0])
	if err != nil {
		return err
	}
	env, key, err := c.environment(c.environmentName)
	if err != nil {
		return err
	}
	p, err := kvstore.Propose(c.ctx, env.store(), key, env.Name, b, kvstore.Proposal{
		By: c.set.By, Note: note, AtMs: c.now().UnixMilli(),
	})
	if err != nil {
		return unreachable(err)
	}
	return c.print(p, func() {
		fmt.Fprintf(c.out, "proposed %s on version %d of %s\n", p.Digest, p.Base, env.Name)
	})
}

func (c *invocation) review() error {
	env, key, err := c.environment(c.environmentName)
	if err != nil {
		return err
	}
	if len(c.args) == 0 {
		list, err := kvstore.ReadProposals(c.ctx, env.store(), key, env.Name)
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
	current, _, err := kvstore.ReadAccepted(c.ctx, env.store(), key, env.Name)
	if err != nil {
		return unreachable(err)
	}
	out := struct {
		Proposal kvstore.Proposal
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

func (c *invocation) printProposals(list []kvstore.Proposal) {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DIGEST\tBASE\tBY\tAT\tNOTE")
	for _, p := range list {
		fmt.Fprintf(w, "%.12s\t%d\t%s\t%s\t%s\n", p.Digest, p.Base, p.By, formatTime(p.AtMs), p.Note)
	}
	_ = w.Flush()
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05") }

// proposal returns the one proposal whose digest begins with prefix, and its document.
// If there is none, or more than one, the error is a usageError.
func (c *invocation) proposal(env Environment, key []byte, prefix string) (kvstore.Proposal, []byte, error) {
	list, err := kvstore.ReadProposals(c.ctx, env.store(), key, env.Name)
	if err != nil {
		return kvstore.Proposal{}, nil, unreachable(err)
	}
	var found []kvstore.Proposal
	for _, p := range list {
		if strings.HasPrefix(p.Digest, prefix) {
			found = append(found, p)
		}
	}
	if len(found) != 1 {
		return kvstore.Proposal{}, nil, &usageError{fmt.Sprintf("%d proposals of %s begin with %q; see guavayoke review", len(found), env.Name, prefix)}
	}
	raw, err := kvstore.ReadProposed(c.ctx, env.store(), env.Name, found[0].Digest)
	if err != nil {
		return found[0], nil, unreachable(err)
	}
	return found[0], raw, nil
}

func (c *invocation) accept(allowDrop bool) error {
	if err := c.requireArgs(1, "DIGEST"); err != nil {
		return err
	}
	env, key, err := c.environment(c.environmentName)
	if err != nil {
		return err
	}
	p, raw, err := c.proposal(env, key, c.args[0])
	if err != nil {
		return err
	}
	return c.putInForce(env, key, raw, p.Base, allowDrop, kvstore.Change{Note: p.Note})
}

func (c *invocation) promote(allowDrop bool, note string) error {
	if err := c.requireArgs(2, "FROM TO"); err != nil {
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
	source, _, err := kvstore.ReadAccepted(c.ctx, from.store(), key, from.Name)
	if err != nil {
		return unreachable(err)
	}
	if source.Document == nil {
		return &usageError{"nothing is in force in " + from.Name}
	}
	current, _, err := kvstore.ReadAccepted(c.ctx, to.store(), key, to.Name)
	if err != nil {
		return unreachable(err)
	}
	return c.putInForce(to, key, source.Record.Document, current.Record.Change.Version, allowDrop,
		kvstore.Change{Note: note, From: fmt.Sprintf("%s/%d", from.Name, source.Record.Change.Version)})
}

// putInForce accepts the document raw in env, where version base must still be in force,
// and prints the change.
func (c *invocation) putInForce(env Environment, key, raw []byte, base uint64, allowDrop bool, change kvstore.Change) error {
	change.WriteID = uuid.NewString()
	change.By = c.set.By
	change.AtMs = c.now().UnixMilli()
	accepted, err := kvstore.Accept(c.ctx, kvstore.AcceptConfig{
		Store: env.store(), Key: key, Environment: env.Name, Document: raw,
		Base: base, AllowDrop: allowDrop, Change: change,
	})
	if err != nil {
		return err
	}
	return c.print(accepted, func() {
		fmt.Fprintf(c.out, "version %d is accepted in %s, digest %s\n", accepted.Version, env.Name, accepted.Digest)
	})
}

func (c *invocation) history() error {
	env, key, err := c.environment(c.environmentName)
	if err != nil {
		return err
	}
	current, _, err := kvstore.ReadAccepted(c.ctx, env.store(), key, env.Name)
	if err != nil {
		return unreachable(err)
	}
	list := []kvstore.Change{}
	if current.Document != nil {
		list = append(append(list, current.Record.Change), current.Record.History...)
	}
	return c.print(list, func() {
		w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "VERSION\tDIGEST\tBY\tAT\tFROM\tWRITE ID\tNOTE")
		for _, h := range list {
			fmt.Fprintf(w, "%d\t%.12s\t%s\t%s\t%s\t%s\t%s\n", h.Version, h.Digest, h.By, formatTime(h.AtMs), h.From, h.WriteID, h.Note)
		}
		_ = w.Flush()
	})
}

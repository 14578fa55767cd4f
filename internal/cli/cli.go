// Package cli is the command line of operators.
package cli

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"guavayoke/internal/platform"
	"guavayoke/internal/settings"
	"guavayoke/pkg/document"
)

// Exit codes of every command.
const (
	ExitOK             = 0
	ExitFailed         = 1
	ExitUsage          = 2
	ExitInvalid        = 3
	ExitConflict       = 4
	ExitOutcomeUnknown = 5
	ExitNotInForce     = 6
	ExitUnreachable    = 7
	ExitNotComplete    = 8
)

// exitCodes documents the codes, for help and the reference.
var exitCodes = []struct {
	Code int
	Doc  string
}{
	{ExitOK, "done"},
	{ExitFailed, "failed"},
	{ExitUsage, "wrong use or settings"},
	{ExitInvalid, "the document is not valid"},
	{ExitConflict, "another change was accepted first, or the document drops something in use"},
	{ExitOutcomeUnknown, "the store did not settle the change in time; it may take effect"},
	{ExitNotInForce, "not in force everywhere in time"},
	{ExitUnreachable, "no daemon or no platform answered"},
	{ExitNotComplete, "the job did not complete"},
}

// Command is one command. Help and the reference are made from this data.
type Command struct {
	Name string
	// Args shows the arguments after the flags.
	Args string
	Doc  string
	// Example is a line that can be run against the stand-ins.
	Example string
	// Flags registers the flags and returns what runs the command.
	Flags func(fs *flag.FlagSet) func(c *call) error
}

// Commands are all commands, in the order of help.
var Commands = []Command{
	validateCommand, diffCommand, proposeCommand, reviewCommand, acceptCommand,
	promoteCommand, historyCommand, statusCommand, reportCommand, submitCommand,
}

// Settings are the settings of the command line.
type Settings struct {
	By           string        `validate:"required,max=64,name" doc:"name of the operator, shown in the history"`
	PeerKey      string        `validate:"required,min=32,max=128,hexadecimal" doc:"shared key of the entry hosts, hexadecimal; signs configuration records"`
	Environments []Environment `validate:"required,min=1,max=100,unique=Name,dive" doc:"the environments that can be reached"`
}

// Environment says where an environment is reached.
type Environment struct {
	Name              string   `validate:"required,max=64,name" doc:"name of the environment"`
	PlatformAddresses []string `validate:"required,min=1,max=16,dive,ip_port" doc:"addresses of the platform"`
	OperatorAddresses []string `validate:"max=1000,dive,ip_port" doc:"operator addresses of daemons; the others are learnt from them"`
	CallerAddresses   []string `validate:"max=1000,dive,ip_port" doc:"caller addresses, for jobs by hand"`
}

// usageError is a wrong use of a command.
type usageError struct{ text string }

// Error implements error.
func (e *usageError) Error() string { return e.text }

// codeError carries an exit code.
type codeError struct {
	code int
	err  error
}

// Error implements error.
func (e *codeError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *codeError) Unwrap() error { return e.err }

// call is one run of a command.
type call struct {
	ctx      context.Context
	set      Settings
	settings string
	args     []string
	json     bool
	env      string
	out      io.Writer
	now      func() time.Time
}

// Run runs the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-help" || args[0] == "-h" {
		printHelp(out)
		return ExitOK
	}
	for _, cmd := range Commands {
		if cmd.Name == args[0] {
			return cmd.run(args[1:], out, errOut)
		}
	}
	fmt.Fprintf(errOut, "guavayoke: there is no command %q; see guavayoke -help\n", args[0])
	return ExitUsage
}

func (cmd Command) run(args []string, out, errOut io.Writer) int {
	c := &call{out: out, now: time.Now}
	fs := flag.NewFlagSet(cmd.Name, flag.ContinueOnError)
	fs.SetOutput(errOut)
	output := fs.String("output", "text", "`form` of the output: text or json")
	fs.StringVar(&c.settings, "settings", "guavayoke.json", "JSON settings `file` of the command line")
	fs.StringVar(&c.env, "env", "", "`name` of the environment; the first of the settings if empty")
	timeout := fs.Duration("timeout", 30*time.Second, "longest time that the command takes")
	run := cmd.Flags(fs)
	fs.Usage = func() { cmd.help(fs, errOut) }
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitUsage
	}
	if *output != "text" && *output != "json" {
		fmt.Fprintln(errOut, "guavayoke: -output must be text or json")
		return ExitUsage
	}
	c.json = *output == "json"
	c.args = fs.Args()
	ctx, cancel := context.WithTimeout(context.Background(), *timeout)
	defer cancel()
	c.ctx = ctx
	return c.end(run(c), errOut)
}

// end prints an error and returns the exit code that belongs to it.
func (c *call) end(err error, errOut io.Writer) int {
	if err == nil {
		return ExitOK
	}
	code := exitCode(err)
	if c.json {
		b, _ := json.Marshal(struct {
			Error string
			Code  int
		}{err.Error(), code})
		fmt.Fprintln(errOut, string(b))
		return code
	}
	fmt.Fprintln(errOut, "guavayoke: "+err.Error())
	var race *platform.StaleBaseError
	if errors.As(err, &race) {
		printChanges(errOut, race.Changes)
	}
	return code
}

func exitCode(err error) int {
	var (
		coded     *codeError
		usage     *usageError
		problems  *document.ProblemsError
		race      *platform.StaleBaseError
		drop      *platform.DropError
		same      *platform.AlreadyInForceError
		unsettled *platform.OutcomeUnknownError
	)
	switch {
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &problems):
		return ExitInvalid
	case errors.As(err, &race), errors.As(err, &drop), errors.As(err, &same):
		return ExitConflict
	case errors.As(err, &unsettled):
		return ExitOutcomeUnknown
	}
	return ExitFailed
}

func printHelp(w io.Writer) {
	fmt.Fprint(w, "guavayoke is the command line of operators.\n\nUsage: guavayoke COMMAND [FLAGS] [ARGUMENTS]\n\nCommands:\n")
	for _, cmd := range Commands {
		fmt.Fprintf(w, "  %-9s %s\n", cmd.Name, firstSentence(cmd.Doc))
	}
	fmt.Fprint(w, "\nguavayoke COMMAND -help shows flags and an example.\n\nExit codes:\n")
	for _, e := range exitCodes {
		fmt.Fprintf(w, "  %d  %s\n", e.Code, e.Doc)
	}
}

func firstSentence(s string) string {
	first, _, _ := strings.Cut(s, ". ")
	return strings.TrimSuffix(first, ".")
}

func (cmd Command) help(fs *flag.FlagSet, w io.Writer) {
	fmt.Fprintf(w, "Usage: guavayoke %s [FLAGS] %s\n\n%s\n\nExample:\n  %s\n\nFlags:\n", cmd.Name, cmd.Args, cmd.Doc, cmd.Example)
	fs.PrintDefaults()
}

// environment reads the settings and returns the chosen environment.
func (c *call) environment(name string) (Environment, []byte, error) {
	if c.set.By == "" {
		if err := settings.Read(c.settings, &c.set); err != nil {
			return Environment{}, nil, &usageError{err.Error()}
		}
	}
	key, err := hex.DecodeString(c.set.PeerKey)
	if err != nil {
		return Environment{}, nil, &usageError{"PeerKey: " + err.Error()}
	}
	if name == "" {
		return c.set.Environments[0], key, nil
	}
	for _, e := range c.set.Environments {
		if e.Name == name {
			return e, key, nil
		}
	}
	return Environment{}, nil, &usageError{fmt.Sprintf("the settings have no environment %q", name)}
}

const callTimeout = 3 * time.Second

func (e Environment) store() *platform.Store {
	return platform.NewStore(platform.StoreConfig{Addresses: e.PlatformAddresses, Timeout: callTimeout})
}

// print writes v as JSON, or calls text.
func (c *call) print(v any, text func()) error {
	if !c.json {
		text()
		return nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	_, err = fmt.Fprintln(c.out, string(b))
	return err
}

func (c *call) wantArgs(n int, names string) error {
	if len(c.args) != n {
		return &usageError{fmt.Sprintf("wants %d arguments: %s; got %d", n, names, len(c.args))}
	}
	return nil
}

func printChanges(w io.Writer, changes []document.Change) {
	for _, ch := range changes {
		switch {
		case ch.Old == "":
			fmt.Fprintf(w, "+ %s: %s\n", ch.Path, ch.New)
		case ch.New == "":
			fmt.Fprintf(w, "- %s: %s\n", ch.Path, ch.Old)
		default:
			fmt.Fprintf(w, "~ %s: %s -> %s\n", ch.Path, ch.Old, ch.New)
		}
	}
	if len(changes) == 0 {
		fmt.Fprintln(w, "no difference")
	}
}

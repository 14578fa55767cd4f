// Package cli implements guavayoke, the command line with which operators change and
// inspect the configuration of environments.
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

	"guavayoke/internal/kvstore"
	"guavayoke/internal/settings"
	"guavayoke/pkg/document"
)

// Exit codes of the commands.
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

// exitCodes describes the exit codes in the help text and the reference.
var exitCodes = []struct {
	Code int
	Doc  string
}{
	{ExitOK, "success"},
	{ExitFailed, "any other failure"},
	{ExitUsage, "wrong usage or invalid settings"},
	{ExitInvalid, "the document is invalid"},
	{ExitConflict, "another change was accepted first, the same document is already in force, or the document lacks a service or team that is in force"},
	{ExitOutcomeUnknown, "the store did not confirm the change in time; it may still take effect"},
	{ExitNotInForce, "the accepted version was not in force on every reachable daemon in time"},
	{ExitUnreachable, "no daemon answered, or the platform did not"},
	{ExitNotComplete, "the job did not complete"},
}

// Command describes one command. The help text and the reference are generated from it.
type Command struct {
	Name string
	// Args shows the arguments that follow the flags.
	Args string
	Doc  string
	// Example is a command line that can be run against the stand-ins.
	Example string
	// Flags registers the flags of the command and returns the function that runs it.
	Flags func(fs *flag.FlagSet) func(c *invocation) error
}

// Commands are all commands, in the order in which the help text lists them.
var Commands = []Command{
	validateCommand, diffCommand, proposeCommand, reviewCommand, acceptCommand,
	promoteCommand, historyCommand, statusCommand, reportCommand, submitCommand,
	explainCommand,
}

// Settings holds the settings of the command line.
type Settings struct {
	By           string        `validate:"required,max=64,name" doc:"name of the operator, shown in the history"`
	PeerKey      string        `validate:"required,min=32,max=128,hexadecimal" doc:"shared key of the entry hosts, hexadecimal; signs configuration records"`
	Environments []Environment `validate:"required,min=1,max=100,unique=Name,dive" doc:"environments that the commands can use"`
}

// Environment holds the addresses at which an environment is reached.
type Environment struct {
	Name              string   `validate:"required,max=64,name" doc:"name of the environment"`
	PlatformAddresses []string `validate:"required,min=1,max=16,dive,ip_port" doc:"addresses of the platform's service"`
	OperatorAddresses []string `validate:"max=1000,dive,ip_port" doc:"operator addresses of daemons; the daemons report those of the other members"`
	CallerAddresses   []string `validate:"max=1000,dive,ip_port" doc:"caller addresses of daemons, to which the submit command sends jobs"`
}

// usageError reports wrong usage of a command or invalid settings.
type usageError struct{ text string }

// Error implements error.
func (e *usageError) Error() string { return e.text }

// exitError is an error with the exit code that it causes.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the error without its exit code.
func (e *exitError) Unwrap() error { return e.err }

// invocation is one run of a command.
type invocation struct {
	ctx             context.Context
	set             Settings
	settingsFile    string
	args            []string
	json            bool
	environmentName string
	out             io.Writer
	now             func() time.Time
}

// Run runs the command line args, without the name of the program, and returns the exit
// code. Results go to out, errors and the help texts of single commands to errOut.
func Run(args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-help" || args[0] == "--help" || args[0] == "-h" {
		printHelp(out)
		return ExitOK
	}
	for _, cmd := range Commands {
		if cmd.Name == args[0] {
			return cmd.run(args[1:], out, errOut)
		}
	}
	fmt.Fprintf(errOut, "guavayoke: unknown command %q; see guavayoke -help\n", args[0])
	return ExitUsage
}

func (cmd Command) run(args []string, out, errOut io.Writer) int {
	c := &invocation{out: out, now: time.Now}
	fs := flag.NewFlagSet(cmd.Name, flag.ContinueOnError)
	fs.SetOutput(errOut)
	output := fs.String("output", "text", "output `format`: text or json")
	fs.StringVar(&c.settingsFile, "settings", "guavayoke.json", "settings `file` of the command line, in JSON")
	fs.StringVar(&c.environmentName, "env", "", "`name` of the environment; if empty, the first one in the settings")
	timeout := fs.Duration("timeout", 30*time.Second, "maximum duration of the command")
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
	return c.finish(run(c), errOut)
}

// finish returns the exit code of a command that returned err, and prints err to errOut
// unless it is nil.
func (c *invocation) finish(err error, errOut io.Writer) int {
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
	var staleBase *kvstore.StaleBaseError
	if errors.As(err, &staleBase) {
		printChanges(errOut, staleBase.Changes)
	}
	return code
}

func exitCode(err error) int {
	var (
		coded          *exitError
		usage          *usageError
		problems       *document.ProblemsError
		staleBase      *kvstore.StaleBaseError
		dropped        *kvstore.DropError
		inForce        *kvstore.AlreadyInForceError
		outcomeUnknown *kvstore.OutcomeUnknownError
	)
	switch {
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &problems):
		return ExitInvalid
	case errors.As(err, &staleBase), errors.As(err, &dropped), errors.As(err, &inForce):
		return ExitConflict
	case errors.As(err, &outcomeUnknown):
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

// environment returns the environment called name, or the first one in the settings if
// name is empty, and the decoded PeerKey. It reads the settings file at the first call.
func (c *invocation) environment(name string) (Environment, []byte, error) {
	if c.set.By == "" {
		if err := settings.Read(c.settingsFile, &c.set); err != nil {
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

func (e Environment) store() *kvstore.Store {
	return kvstore.NewStore(kvstore.StoreConfig{Addresses: e.PlatformAddresses, Timeout: callTimeout})
}

// print writes v as JSON if that is the output format. Otherwise it calls text.
func (c *invocation) print(v any, text func()) error {
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

func (c *invocation) requireArgs(n int, names string) error {
	if len(c.args) != n {
		return &usageError{fmt.Sprintf("want %d arguments: %s; got %d", n, names, len(c.args))}
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

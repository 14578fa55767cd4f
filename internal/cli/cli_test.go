package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"guavayoke/internal/standin"
	"guavayoke/pkg/document"
)

// testOperators is a stand-in of the platform and a directory with the settings of two
// operators, anna and bert.
type testOperators struct {
	platform *standin.Platform
	dir      string
	example  []byte
}

func newTestOperators(t *testing.T) *testOperators {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o := &testOperators{platform: standin.NewPlatform(standin.PlatformSettings{}), dir: t.TempDir()}
	server := &fasthttp.Server{Handler: o.platform.Handler}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	if o.example, err = os.ReadFile("../../examples/raumwerk.json"); err != nil {
		t.Fatal(err)
	}
	for _, by := range []string{"anna", "bert"} {
		o.write(t, by+".json", fmt.Sprintf(`{"By": %q, "PeerKey": "00112233445566778899aabbccddeeff",
			"Environments": [{"Name": "trial", "PlatformAddresses": [%q]}, {"Name": "production", "PlatformAddresses": [%q]}]}`,
			by, l.Addr(), l.Addr()))
	}
	return o
}

func (o *testOperators) write(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(o.dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// document writes the example document with the given number of slots and returns its
// file and digest.
func (o *testOperators) document(t *testing.T, slots int) (string, string) {
	t.Helper()
	text := strings.Replace(string(o.example), `"Slots": 8`, fmt.Sprintf(`"Slots": %d`, slots), 1)
	return o.write(t, fmt.Sprintf("doc%d.json", slots), text), document.Digest([]byte(text))
}

// run runs a command with the settings of an operator and returns the exit code, the
// output and the error output.
func (o *testOperators) run(by string, args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	all := append([]string{args[0], "-settings", filepath.Join(o.dir, by+".json"), "-timeout", "5s"}, args[1:]...)
	code := Run(all, &out, &errOut)
	return code, out.String(), errOut.String()
}

func (o *testOperators) expectExit(t *testing.T, want int, by string, args ...string) string {
	t.Helper()
	code, out, errOut := o.run(by, args...)
	if code != want {
		t.Fatalf("%v: exit code %d, want %d: %s%s", args, code, want, out, errOut)
	}
	return out + errOut
}

// TestProposeAcceptPromote takes a document from validation to promotion. Two operators
// propose on the same base version: the second to accept must be refused and see the
// difference, and must be able to propose the same document again.
func TestProposeAcceptPromote(t *testing.T) {
	o := newTestOperators(t)
	first, firstDigest := o.document(t, 8)
	second, secondDigest := o.document(t, 9)
	o.expectExit(t, ExitOK, "anna", "validate", first)
	o.expectExit(t, ExitOK, "anna", "propose", "-env", "trial", first)
	o.expectExit(t, ExitOK, "bert", "propose", "-env", "trial", second)
	if list := o.expectExit(t, ExitOK, "anna", "review", "-env", "trial"); strings.Count(list, "\n") != 3 {
		t.Errorf("two proposals are listed as:\n%s", list)
	}
	o.expectExit(t, ExitOK, "anna", "accept", "-env", "trial", firstDigest[:8])
	conflict := o.expectExit(t, ExitConflict, "bert", "accept", "-env", "trial", secondDigest)
	if !strings.Contains(conflict, "~ Services[booking].Slots: 8 -> 9") || !strings.Contains(conflict, "anna") {
		t.Errorf("the operator whose base version is stale sees:\n%s", conflict)
	}
	o.expectExit(t, ExitOK, "bert", "propose", "-env", "trial", second)
	o.expectExit(t, ExitOK, "bert", "accept", "-env", "trial", secondDigest)
	o.expectExit(t, ExitOK, "anna", "promote", "trial", "production")
	var history []struct {
		Version      uint64
		Digest, From string
	}
	if err := json.Unmarshal([]byte(o.expectExit(t, ExitOK, "anna", "history", "-env", "production", "-output", "json")), &history); err != nil {
		t.Fatal(err)
	}
	if len(history) != 1 || history[0].Digest != secondDigest || history[0].From != "trial/2" {
		t.Errorf("history of production: %+v", history)
	}
	o.expectExit(t, ExitConflict, "anna", "promote", "trial", "production")
}

func TestExitCodes(t *testing.T) {
	o := newTestOperators(t)
	good, digest := o.document(t, 8)
	bad := o.write(t, "bad.json", `{"Name": "x"}`)
	o.expectExit(t, ExitOK, "anna", "propose", good)
	o.expectExit(t, ExitOK, "anna", "accept", digest)
	tests := map[string]struct {
		args []string
		want int
	}{
		"UnknownCommand": {[]string{"dance"}, ExitUsage},
		"UnknownFlag":    {[]string{"history", "-x"}, ExitUsage},
		"UnknownEnv":     {[]string{"history", "-env", "x"}, ExitUsage},
		"NoArgument":     {[]string{"accept"}, ExitUsage},
		"NoFile":         {[]string{"validate", "none.json"}, ExitUsage},
		"Invalid":        {[]string{"propose", bad}, ExitInvalid},
		"UnknownDigest":  {[]string{"accept", "zz"}, ExitUsage},
		"SameAgain":      {[]string{"accept", digest}, ExitConflict},
		"NoDaemon":       {[]string{"status"}, ExitUnreachable},
		"WrongOutput":    {[]string{"history", "-output", "xml"}, ExitUsage},
		"UnknownReport":  {[]string{"report", "cost"}, ExitUsage},
		"Help":           {[]string{"-help"}, ExitOK},
		"HelpTwoDashes":  {[]string{"--help"}, ExitOK},
		"HelpOfCommand":  {[]string{"accept", "-help"}, ExitOK},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) { o.expectExit(t, tc.want, "anna", tc.args...) })
	}
}

// TestAcceptDuringFaults covers accepting while the store fails: with lost replies the
// command finds out that its change was written, during an outage it exits with
// ExitUnreachable, and it rejects a truncated record. A failed command changes nothing.
func TestAcceptDuringFaults(t *testing.T) {
	tests := map[string]struct {
		faults standin.PlatformFaults
		want   int
	}{
		"AnswersLost": {standin.PlatformFaults{LoseAnswers: 1}, ExitOK},
		"Outage":      {standin.PlatformFaults{Outage: true}, ExitUnreachable},
		"Corrupt":     {standin.PlatformFaults{Corrupt: true}, ExitFailed},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			o := newTestOperators(t)
			first, firstDigest := o.document(t, 8)
			second, secondDigest := o.document(t, 9)
			o.expectExit(t, ExitOK, "anna", "propose", first)
			o.expectExit(t, ExitOK, "anna", "accept", firstDigest)
			o.expectExit(t, ExitOK, "anna", "propose", second)
			o.platform.SetFaults(tc.faults)
			o.expectExit(t, tc.want, "anna", "accept", secondDigest)
			o.platform.SetFaults(standin.PlatformFaults{})
			lines := strings.Count(o.expectExit(t, ExitOK, "anna", "history"), "\n") - 1
			if want := map[bool]int{true: 2, false: 1}[tc.want == ExitOK]; lines != want {
				t.Errorf("%d versions in the history, want %d", lines, want)
			}
		})
	}
}

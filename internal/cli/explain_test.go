package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"guavayoke/internal/explain"
)

const explainLog = ` 0.1 edge-1 Time=2026-12-01T00:00:00.100Z Level=info Event=JobReceived Job=c92709be1f0f828c Queue=r-3g5wnzp Version=3 Steps=1 Tasks=3 CPUMilli=19400 EstimateMs=40 BudgetMs=2052
built in 3.6 s
 0.2 edge-1 Time=2026-12-01T00:00:00.200Z Level=info Event=JobRefused Job=c92709be1f0f828c Queue=r-3g5wnzp Reason=QueueFull Queued=25 WaitMs=47 RetryAfterMs=500 MaxWaitMs=20 Saturated=true AgeMs=100
 0.2 edge-1 Time=2026-12-01T00:00:00.200Z Level=info Event=JobAnswered Job=c92709be1f0f828c Queue=r-3g5wnzp Owner=x Outcome=Refused Reason=QueueFull AgeMs=100 Offers=1
`

// explainRun runs the command and returns its exit code, output and error output.
func explainRun(args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := Run(append([]string{"explain"}, args...), &out, &errOut)
	return code, out.String(), errOut.String()
}

func TestExplain(t *testing.T) {
	dir := t.TempDir()
	log, page := filepath.Join(dir, "day.log"), filepath.Join(dir, "losses.html")
	if err := os.WriteFile(log, []byte(explainLog), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		args []string
		code int
		want []string
	}{
		"request": {
			[]string{"c92709be1f0f828c", log},
			ExitOK,
			[]string{"0.200  edge-1  JobRefused", "MaxWaitMs=20", "Refused at edge-1 after 100 ms (QueueSaturated): ", "4 lines: 3 events, 1 of other origin, 0 malformed"},
		},
		"losses":          {[]string{"-losses", "-html", page, log}, ExitOK, []string{"1 requests, 1 refused", "QueueSaturated", "r-3g5wnzp", "3-4"}},
		"unknown request": {[]string{"0000000000000000", log}, ExitFailed, []string{"no line is about request 0000000000000000"}},
		"all that is wrong": {
			[]string{"-html", page, "-max-requests", "1", "xyz", dir, log, log, filepath.Join(dir, "none")},
			ExitUsage,
			[]string{`"xyz" is no ID`, "-html needs -losses", "-max-requests must be", "is a directory", "is named twice", "no such file"},
		},
		"nothing to do": {nil, ExitUsage, []string{"want the ID of a request, or -losses"}},
		"timeout":       {[]string{"-losses", "-timeout", "1ns", log}, ExitFailed, []string{"see -timeout"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			code, out, errOut := explainRun(tt.args...)
			if code != tt.code {
				t.Errorf("exit code %d, want %d", code, tt.code)
			}
			for _, w := range tt.want {
				if !strings.Contains(out+errOut, w) {
					t.Errorf("no %q in\n%s%s", w, out, errOut)
				}
			}
		})
	}
	html, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Contains(html, []byte("<svg")) || bytes.Contains(html, []byte("src=")) || bytes.Contains(html, []byte("href=\"http")) {
		t.Error("the page has no chart, or isn't self-contained")
	}
	_, out, _ := explainRun("-output", "json", "-losses", log)
	var a explain.Account
	if err := json.Unmarshal([]byte(out), &a); err != nil || a.Total.Refused != 1 || a.Causes[0].Cause != "QueueSaturated" {
		t.Errorf("got %v from %s", err, out)
	}
}

package document

import (
	"encoding/json"
	"errors"
	"os"
	"strings"
	"testing"
)

func readExample(t testing.TB) []byte {
	t.Helper()
	b, err := os.ReadFile("../../examples/raumwerk.json")
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestDecodeExample(t *testing.T) {
	d, err := Decode(readExample(t))
	if err != nil {
		t.Fatal(err)
	}
	if d.Services[0].Slots != 8 {
		t.Errorf("Slots is %d, want 8", d.Services[0].Slots)
	}
}

func TestDecodeListsEveryProblem(t *testing.T) {
	good := string(readExample(t))
	replace := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(good) }
	tests := map[string]struct {
		text string
		want []string
	}{
		"NotJSON":       {"{", []string{"Document"}},
		"TwoDocuments":  {good + good, []string{"Document"}},
		"WrongRoot":     {"[]", []string{"Document"}},
		"UnknownField":  {replace(`"Slots"`, `"Slotz"`), []string{"Services[0].Slotz"}},
		"WrongTypes":    {replace(`"Slots": 8`, `"Slots": "8"`, `"Weight": 2`, `"Weight": 1.5`), []string{"Services[0].Slots", "Teams[0].Weight"}},
		"OutOfBounds":   {replace(`"Slots": 8`, `"Slots": 0`, `"Weight": 2`, `"Weight": 0`, `99.9`, `100`), []string{"Services[0].Objective.TargetPercent", "Services[0].Slots", "Teams[0].Weight"}},
		"SameName":      {replace(`"mediators"`, `"referral"`), []string{"Teams"}},
		"BadName":       {replace(`"booking"`, `"book ing"`), []string{"Services[0].Name"}},
		"CrossCheck":    {replace(`"LatencyMs": 2000`, `"LatencyMs": 2000000`), []string{"Services[0].Objective.LatencyMs"}},
		"MissingFields": {`{"Name": "x"}`, []string{"Claims.WritesPerSecond", "Services", "Teams"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(tc.text))
			var p *ProblemsError
			if !errors.As(err, &p) {
				t.Fatalf("Decode returned %v, want a *ProblemsError", err)
			}
			var got []string
			for _, problem := range p.Problems {
				got = append(got, problem.Path)
			}
			if strings.Join(got, " ") != strings.Join(tc.want, " ") {
				t.Errorf("Decode reported %v, want problems at %v", p.Problems, tc.want)
			}
		})
	}
}

func TestDecodeRejectsTooLargeDocument(t *testing.T) {
	if _, err := Decode(make([]byte, MaxBytes+1)); err == nil {
		t.Error("Decode accepted a document larger than MaxBytes")
	}
}

func TestDiff(t *testing.T) {
	a, err := Decode(readExample(t))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Decode(readExample(t))
	if err != nil {
		t.Fatal(err)
	}
	b.Teams[0], b.Teams[1] = b.Teams[1], b.Teams[0]
	if d := Diff(a, b); len(d) != 0 {
		t.Errorf("Diff reports reordered teams as a change: %v", d)
	}
	b.Teams[0].Weight = 7
	b.Services[0].Name = "other"
	if d := Diff(a, b); d[len(d)-1] != (Change{"Teams[mediators].Weight", "1", "7"}) {
		t.Errorf("Diff returned %v, want the new weight of team mediators as the last change", d)
	}
	if got := Dropped(a, b); len(got) != 1 || got[0] != "Services[booking]" {
		t.Errorf("Dropped returned %v, want Services[booking] alone", got)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(readExample(f))
	f.Add([]byte(`{"Services":[{"Retry":null}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Decode(b)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(encoded); err != nil {
			t.Fatalf("Decode rejects a document that it accepted before encoding: %v", err)
		}
	})
}

package cli

import (
	"bytes"
	"testing"

	"guavayoke/internal/operator"
	"guavayoke/internal/worker"
)

// TestStatusShowsEvacuations checks that the newest evacuations are shown, with what still
// runs there and the daemons that don't know them.
func TestStatusShowsEvacuations(t *testing.T) {
	host := func(name, domain string, revision uint64, evacuated []string, e *worker.EvacuationStatus) hostStatus {
		return hostStatus{Status: operator.Status{
			Name: name, FailureDomain: domain, EvacuationRevision: revision, EvacuatedDomains: evacuated, Worker: &worker.Status{Evacuation: e},
		}}
	}
	running := &worker.EvacuationStatus{SinceMs: 1200, Running: 7, Returned: 3, Lost: 1}
	cases := map[string]struct {
		hosts []hostStatus
		want  string
	}{
		"None":     {[]hostStatus{host("h1", "a", 5, nil, nil)}, ""},
		"Released": {[]hostStatus{host("h1", "a", 5, []string{"a"}, nil), host("h2", "b", 6, nil, nil)}, ""},
		"Evacuated": {
			[]hostStatus{host("h1", "a", 6, []string{"a"}, running), host("h2", "b", 5, nil, nil), {Error: "gone"}},
			"evacuated: a at revision 6: for 1200 ms, 7 tasks still run, 3 jobs returned, 1 lost; not known to h2\n",
		},
		"NoOwner": {[]hostStatus{host("h2", "b", 6, []string{"a"}, nil)}, "evacuated: a at revision 6: no owner reached\n"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			printEvacuations(&out, c.hosts)
			if out.String() != c.want {
				t.Errorf("got %q, want %q", out.String(), c.want)
			}
		})
	}
}

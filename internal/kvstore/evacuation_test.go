package kvstore

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestEvacuationsNeverGoBack passes what the store and peers have had, in any order, with
// duplicates, stale reads and restarts, to several registers. Each must hold the set of the
// highest revision that it has met since its start, and registers of one revision agree.
func TestEvacuationsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []Evacuations{}
		for revision := uint64(100); len(history) < 8; revision += uint64(rapid.IntRange(1, 3).Draw(t, "step")) {
			domains := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 4).Draw(t, "domains")
			history = append(history, NewEvacuations(revision, domains))
		}
		hosts := make([]evacuationRegister, 3)
		highest := make([]uint64, len(hosts))
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			n := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			var told Evacuations
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				hosts[n], highest[n] = evacuationRegister{}, 0
				continue
			case 1, 2:
				told = hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "peer")].current
			default:
				told = rapid.SampledFrom(history).Draw(t, "read")
			}
			before := hosts[n].current
			newer, changed := hosts[n].learn(told)
			if want := told.Revision > highest[n]; newer != want {
				t.Fatalf("revision %d after %d: newer is %t", told.Revision, highest[n], newer)
			}
			if want := newer && (before.Revision == 0 || !slices.Equal(before.FailureDomains, told.FailureDomains)); changed != want {
				t.Fatalf("%v after %v: changed is %t", told, before, changed)
			}
			highest[n] = max(highest[n], told.Revision)
			if hosts[n].current.Revision != highest[n] {
				t.Fatalf("host holds revision %d, met %d", hosts[n].current.Revision, highest[n])
			}
			for _, e := range history {
				if e.Revision == highest[n] && fmt.Sprint(e.FailureDomains) != fmt.Sprint(hosts[n].current.FailureDomains) {
					t.Fatalf("host holds %v at revision %d, the store had %v", hosts[n].current.FailureDomains, e.Revision, e.FailureDomains)
				}
			}
		}
	})
}

// TestReread checks that a host which needs the present evacuations reads beside its watch,
// and that it doesn't call a store that fails more often.
func TestReread(t *testing.T) {
	now := time.Unix(1e9, 0)
	started := func() *ConfigurationSyncer {
		s := &ConfigurationSyncer{}
		read := s.Tick(now)[0].Read
		watch := s.StoreResponded(now, StoreResponse{Call: read.Call, KeyVersion: 7, Configuration: &AppliedConfiguration{Version: 1}})
		if len(watch) != 1 || watch[0].Watch == nil {
			t.Fatalf("no watch after the first read: %+v", watch)
		}
		return s
	}
	s := started()
	actions := s.Reread(now.Add(time.Second))
	if len(actions) != 1 || actions[0].Read == nil {
		t.Errorf("got %+v, want a read", actions)
	}
	s = started()
	s.StoreFailed(now.Add(time.Second), s.call.id)
	for _, a := range s.Reread(now.Add(time.Second)) {
		if a.Read != nil || a.Watch != nil {
			t.Errorf("the failing store is called at once: %+v", a)
		}
	}
}

// TestEvacuationsOfPeersOutOfBounds checks which sets of a peer are taken, and that a host whose
// store has thousands of keys of another program still tells its peers what matters to them.
func TestEvacuationsOfPeersOutOfBounds(t *testing.T) {
	many := make([]string, 5000)
	for i := range many {
		many[i] = fmt.Sprintf("%04d%s", i, strings.Repeat("x", 180))
	}
	cases := map[string]struct {
		told  Evacuations
		taken bool
		want  []string
	}{
		"Usual":           {Evacuations{7, []string{"a"}}, true, []string{"a"}},
		"None":            {Evacuations{7, nil}, true, nil},
		"Many":            {NewEvacuations(7, append(many, "a", "b")), true, []string{"a", "b"}},
		"LargestRevision": {Evacuations{maxRevision, []string{"a"}}, true, []string{"a"}},
		"RevisionMax64":   {Evacuations{math.MaxUint64, []string{"a"}}, false, nil},
		"LongName":        {Evacuations{7, []string{strings.Repeat("x", 10_000)}}, false, nil},
		"NoName":          {Evacuations{7, []string{""}}, false, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := encodeEvacuations(c.told, map[string]bool{"a": true, "b": true, "c": true})
			e, err := decodeEvacuations(b)
			if (err == nil) != c.taken || !slices.Equal(e.FailureDomains, c.want) || len(b) > 11_000 {
				t.Errorf("%d bytes are decoded as %v, %v", len(b), e, err)
			}
		})
	}
}

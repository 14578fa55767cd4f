package kvstore

import (
	"context"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"guavayoke/internal/event"
)

var testKey = []byte("0123456789abcdef0123456789abcdef")

// exampleDocument returns a valid document.
func exampleDocument(t *testing.T) []byte {
	t.Helper()
	b, err := os.ReadFile("../../examples/raumwerk.json")
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// fakeStore is a store with a single key.
type fakeStore struct {
	value Value
	// applyDelayed, if set, applies a delayed write.
	applyDelayed func()
	// fault, if set, returns what happens to write n, counted from 1: whether it is
	// applied, whether its response is lost, and whether it is applied when
	// applyDelayed is called.
	fault func(n int) (apply, loseResponse, applyLater bool)
	puts  int
}

func (s *fakeStore) store() *Store {
	return &Store{
		Get: func(context.Context, string) (Value, error) { return s.value, nil },
		Put: func(_ context.Context, key string, expect uint64, data []byte) (uint64, error) {
			s.puts++
			apply, loseResponse, applyLater := true, false, false
			if s.fault != nil {
				apply, loseResponse, applyLater = s.fault(s.puts)
			}
			put := func() bool {
				if s.value.Version != expect {
					return false
				}
				s.value = Value{Version: expect + 1, Data: data}
				return true
			}
			if applyLater {
				s.applyDelayed = func() { put() }
			}
			if apply && !put() {
				return 0, &ConflictError{key, expect, s.value.Version}
			}
			if loseResponse {
				return 0, errors.New("response lost")
			}
			return s.value.Version, nil
		},
	}
}

// TestAcceptResolvesLostResponses checks that Accept reports the change as accepted,
// and that the change is applied only once, when the response or the write is lost or
// the write is applied late.
func TestAcceptResolvesLostResponses(t *testing.T) {
	tests := map[string]func(n int) (apply, loseResponse, applyLater bool){
		"Answered":             nil,
		"AnswerLostAfterWrite": func(n int) (bool, bool, bool) { return true, n == 1, false },
		"WriteLost":            func(n int) (bool, bool, bool) { return n > 1, n == 1, false },
		"WriteLandsLate":       func(n int) (bool, bool, bool) { return n > 1, n == 1, n == 1 },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeStore{fault: fault}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				c := AcceptConfig{Store: s.store(), Key: testKey, Environment: "e", Document: exampleDocument(t), Change: Change{WriteID: "w1", By: "a"}}
				got, err := Accept(ctx, c)
				if err != nil || got.Version != 1 || got.WriteID != "w1" {
					t.Fatalf("Accept returned %+v, %v; want version 1 with write id w1", got, err)
				}
				if s.applyDelayed != nil {
					s.applyDelayed()
				}
				if s.value.Version != 1 {
					t.Errorf("the key has version %d, want 1: the change was applied twice", s.value.Version)
				}
			})
		})
	}
}

// TestAcceptRace checks that, if two operators accept a document on the same base
// version, the first succeeds and the second gets the difference, and that the second
// can accept its document on the new version.
func TestAcceptRace(t *testing.T) {
	s := &fakeStore{}
	first := exampleDocument(t)
	second := []byte(strings.Replace(string(first), `"Slots": 8`, `"Slots": 9`, 1))
	accept := func(doc []byte, id string, base uint64) (Change, error) {
		return Accept(t.Context(), AcceptConfig{Store: s.store(), Key: testKey, Environment: "e", Document: doc, Base: base, Change: Change{WriteID: id, By: id}})
	}
	if _, err := accept(first, "anna", 0); err != nil {
		t.Fatal(err)
	}
	_, err := accept(second, "bert", 0)
	var race *StaleBaseError
	if !errors.As(err, &race) || race.Current.By != "anna" || len(race.Changes) != 1 {
		t.Fatalf("got error %v, want a StaleBaseError with 1 difference to the change by anna", err)
	}
	if c, err := accept(second, "bert", 1); err != nil || c.Version != 2 {
		t.Fatalf("accepted on the new version: got %+v, %v; want version 2", c, err)
	}
	var same *AlreadyInForceError
	if _, err := accept(second, "bert", 2); !errors.As(err, &same) {
		t.Errorf("accepted the same document again: got error %v, want an AlreadyInForceError", err)
	}
}

func TestAcceptRejectsDroppedNames(t *testing.T) {
	s := &fakeStore{}
	first := exampleDocument(t)
	second := []byte(strings.Replace(string(first), `"Name": "mediators"`, `"Name": "mediation"`, 1))
	c := AcceptConfig{Store: s.store(), Key: testKey, Environment: "e", Document: first, Change: Change{WriteID: "1"}}
	if _, err := Accept(t.Context(), c); err != nil {
		t.Fatal(err)
	}
	c.Document, c.Base = second, 1
	var drop *DropError
	if _, err := Accept(t.Context(), c); !errors.As(err, &drop) || drop.Names[0] != "Teams[mediators]" {
		t.Fatalf("got error %v, want a DropError for Teams[mediators]", err)
	}
	c.AllowDrop = true
	if _, err := Accept(t.Context(), c); err != nil {
		t.Fatal(err)
	}
}

func TestRecordIsVerified(t *testing.T) {
	doc := exampleDocument(t)
	r := (&Record{Environment: "e"}).Next(Change{WriteID: "w"}, doc)
	good, err := EncodeRecord(testKey, r)
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]struct {
		raw         []byte
		key         []byte
		environment string
		ok          bool
	}{
		"Good":             {good, testKey, "e", true},
		"Truncated":        {good[:len(good)-1], testKey, "e", false},
		"Forged":           {[]byte(strings.Replace(string(good), `"Version":1`, `"Version":9`, 1)), testKey, "e", false},
		"OtherKey":         {good, []byte("another key"), "e", false},
		"OtherEnvironment": {good, testKey, "f", false},
		"Empty":            {nil, testKey, "e", true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, _, err := DecodeRecord(tc.key, tc.environment, tc.raw)
			if (err == nil) != tc.ok {
				t.Errorf("got error %v", err)
			}
		})
	}
}

// TestConfigurationIsDecodedOnce checks that a configuration is decoded when it is new,
// not each time that the store or a peer returns the one in force.
func TestConfigurationIsDecodedOnce(t *testing.T) {
	decoded := 0
	s := New(Config{
		Store: newUnreachableStore(), Log: event.New(io.Discard, "error"),
		VerifyConfiguration: func(raw []byte) (*AppliedConfiguration, error) {
			decoded++
			return &AppliedConfiguration{Version: uint64(len(raw)), Raw: raw}, nil
		},
	})
	for i, c := range []struct {
		raw  string
		want int
	}{{"a", 1}, {"a", 1}, {"ab", 2}, {"ab", 2}, {"a", 3}} {
		a := s.verify([]byte(c.raw), sourceRead)
		if a.Version != uint64(len(c.raw)) || decoded != c.want {
			t.Errorf("step %d: version %d after %d decodings, want %d after %d", i, a.Version, decoded, len(c.raw), c.want)
		}
		s.runSyncer(t.Context(), sourceRead, func(now time.Time) []SyncAction { return s.syncer.PeerResponded(now, "", a) })
	}
}

package kernel

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// recorder creates services that record when they are started (+) and stopped (-).
type recorder struct{ events []string }

func (r *recorder) service(name string, startErr, runErr error, stop func(ctx context.Context) error) Service {
	return Service{
		Name: name, Value: r,
		Start: func(ctx context.Context, _ *Kernel) (<-chan error, error) {
			r.events = append(r.events, "+"+name)
			done := make(chan error, 1)
			if runErr != nil {
				done <- runErr
			} else {
				go func() { <-ctx.Done(); done <- nil }()
			}
			return done, startErr
		},
		Stop: func(ctx context.Context) error {
			r.events = append(r.events, "-"+name)
			if stop != nil {
				return stop(ctx)
			}
			return nil
		},
	}
}

// TestRun checks the order of starts and stops, and the error that Run returns, when
// the kernel is told to stop and when a service fails to start, fails later or does
// not stop in time.
func TestRun(t *testing.T) {
	broken := errors.New("broken")
	blockUntilCanceled := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	tests := map[string]struct {
		startErr, runErr error
		stop             func(context.Context) error
		want             string
		wantErr          error
	}{
		"Signal":      {nil, nil, nil, "+a +b -b -a", nil},
		"StartFails":  {broken, nil, nil, "+a +b -a", broken},
		"ServiceEnds": {nil, broken, nil, "+a +b -b -a", broken},
		"StopIsStuck": {nil, nil, blockUntilCanceled, "+a +b -b -a", context.DeadlineExceeded},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &recorder{}
				k := New(r.service("a", nil, nil, nil), r.service("b", tc.startErr, tc.runErr, tc.stop))
				stop, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				err := k.Run(stop, func() (context.Context, context.CancelFunc) {
					return context.WithTimeout(context.Background(), time.Second)
				})
				if got := strings.Join(r.events, " "); got != tc.want {
					t.Errorf("events %q, want %q", got, tc.want)
				}
				if !errors.Is(err, tc.wantErr) || tc.wantErr == nil && err != nil {
					t.Errorf("got error %v, want %v", err, tc.wantErr)
				}
			})
		})
	}
}

func TestFind(t *testing.T) {
	k := New(Service{Name: "a", Value: 7})
	if v, err := Find[int](k, "a"); err != nil || v != 7 {
		t.Errorf("Find returned %d, %v; want 7", v, err)
	}
	var missing *NotFoundError
	if _, err := Find[int](k, "b"); !errors.As(err, &missing) {
		t.Errorf("got error %v, want a NotFoundError", err)
	}
	if _, err := Find[string](k, "a"); err == nil {
		t.Error("Find returned a value of another type without an error")
	}
}

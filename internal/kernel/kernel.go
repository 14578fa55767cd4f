// Package kernel starts named services in order and stops them in reverse.
//
// It knows nothing of what the services do. A service finds another one by
// name through Find.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Service is one named part of a process.
type Service struct {
	// Name identifies the service within its kernel.
	Name string
	// Value is what Find returns to other services.
	Value any
	// Start begins the duties of the service and returns at once. The channel
	// delivers one value, nil or the failure, when the last duty has ended.
	Start func(ctx context.Context, k *Kernel) (<-chan error, error)
	// PrepareStop, if set, is called on all services when the stop begins, before
	// the first of them is stopped. It returns at once.
	PrepareStop func()
	// Stop ends the service gracefully: it returns when the admitted work is
	// done or ctx has ended. A nil Stop only cancels the context of Start.
	Stop func(ctx context.Context) error
}

// Kernel holds the services of one process.
type Kernel struct {
	mu       sync.Mutex
	services []Service
	running  []running
}

type running struct {
	service Service
	cancel  context.CancelFunc
	done    <-chan error
}

// NotFoundError reports a service name that no service has.
type NotFoundError struct{ Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no service named %q", e.Name) }

// New returns a kernel with the given services, in start order.
func New(services ...Service) *Kernel { return &Kernel{services: services} }

// Find returns the value of the service called name.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	for _, s := range k.services {
		if s.Name != name {
			continue
		}
		v, ok := s.Value.(T)
		if !ok {
			return zero, fmt.Errorf("service %q has type %T", name, s.Value)
		}
		return v, nil
	}
	return zero, &NotFoundError{Name: name}
}

// Run starts every service, waits until stop ends or a service fails, and then
// stops the services in reverse order. The context limit bounds the graceful
// stop; when it ends, what is left is cut off.
func (k *Kernel) Run(stop context.Context, newStopContext func() (context.Context, context.CancelFunc)) error {
	failed := make(chan error, len(k.services))
	err := k.start(failed)
	if err == nil {
		select {
		case <-stop.Done():
		case err = <-failed:
		}
	}
	ctx, cancel := newStopContext()
	defer cancel()
	return errors.Join(err, k.stop(ctx))
}

func (k *Kernel) start(failed chan<- error) error {
	for _, s := range k.services {
		ctx, cancel := context.WithCancel(context.Background())
		done, err := s.Start(ctx, k)
		if err != nil {
			cancel()
			return fmt.Errorf("start %s: %w", s.Name, err)
		}
		k.mu.Lock()
		k.running = append(k.running, running{s, cancel, forwardFailure(s.Name, done, failed)})
		k.mu.Unlock()
	}
	return nil
}

// forwardFailure passes an unexpected failure of a service on to the kernel.
func forwardFailure(name string, done <-chan error, failed chan<- error) <-chan error {
	out := make(chan error, 1)
	go func() {
		err := <-done
		if err != nil {
			err = fmt.Errorf("service %s: %w", name, err)
			failed <- err
		}
		out <- err
	}()
	return out
}

func (k *Kernel) stop(ctx context.Context) error {
	for _, r := range k.running {
		if r.service.PrepareStop != nil {
			r.service.PrepareStop()
		}
	}
	var errs []error
	for i := len(k.running) - 1; i >= 0; i-- {
		r := k.running[i]
		if r.service.Stop != nil {
			if err := r.service.Stop(ctx); err != nil {
				errs = append(errs, fmt.Errorf("stop %s: %w", r.service.Name, err))
			}
		}
		r.cancel()
		select {
		case err := <-r.done:
			errs = append(errs, err)
		case <-ctx.Done():
			errs = append(errs, fmt.Errorf("stop %s: %w", r.service.Name, ctx.Err()))
		}
	}
	return errors.Join(errs...)
}

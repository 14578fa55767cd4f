// Package kernel starts the named services of a process in order and stops them in
// reverse order.
//
// It does not depend on what the services do. A service looks up another one by
// name with Find.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Service is a named part of a process that is started and stopped as a unit.
type Service struct {
	// Name identifies the service within its kernel.
	Name string
	// Value is the value that Find returns.
	Value any
	// Start starts the background goroutines of the service and returns without
	// waiting for them. They end when ctx ends. The channel delivers one value,
	// nil or an error, when the last of them has ended. A non-nil error stops
	// the kernel.
	Start func(ctx context.Context, k *Kernel) (<-chan error, error)
	// PrepareStop, if set, is called when the kernel begins to stop, for all
	// services before the first one is stopped. It must not block.
	PrepareStop func()
	// Stop, if set, stops the service gracefully. It returns when the service has
	// finished the work that it has admitted, or when ctx ends. After that, or
	// if Stop is nil, the kernel cancels the context of Start.
	Stop func(ctx context.Context) error
}

// Kernel holds the services of a process.
type Kernel struct {
	mu       sync.Mutex
	services []Service
	running  []running
}

// running is a service that has been started.
type running struct {
	service Service
	cancel  context.CancelFunc
	done    <-chan error
}

// NotFoundError reports that the kernel has no service with a name.
type NotFoundError struct{ Name string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no service named %q", e.Name) }

// New returns a kernel that starts the given services in this order.
func New(services ...Service) *Kernel { return &Kernel{services: services} }

// Find returns the value of the service called name. The error is a *NotFoundError
// if there is no such service. It is also an error if the value is not a T.
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

// Run starts the services, waits until the context stop ends or a service fails, and
// then stops the services in reverse order. It calls newStopContext when it begins
// to stop. The context returned limits the graceful stop: when it ends, Run cancels
// the remaining services without waiting for them. Run returns the errors of all
// services, joined.
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

// start starts the services in order until one fails to start. Errors of services
// that are running go to failed.
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

// forwardFailure waits for the value of done and sends it, with the name of the
// service added to an error, to the channel that it returns. An error also goes to
// failed.
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

// stop stops the running services in reverse order. It returns their errors, joined.
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

// Package latest passes the latest value of something to listeners, in order.
package latest

import "sync"

// Value holds a value and the listeners that follow it. Listeners are called one at a
// time, each with the values in the order in which they were set, so that the last call
// of a listener always has the latest value. The zero Value holds none.
type Value[T any] struct {
	// order is held while listeners are called.
	order     sync.Mutex
	listeners []func(T)

	// mu guards the fields below.
	mu    sync.Mutex
	value T
	set   bool
}

// Update calls f with the value, which is the zero value of T if none has been set. If f
// reports true, the value that it returns is passed to the listeners and, when they have
// returned, becomes the value. Neither f nor the listeners may call Update or Listen.
func (v *Value[T]) Update(f func(old T) (T, bool)) {
	v.order.Lock()
	defer v.order.Unlock()
	value, changed := f(v.Load())
	if !changed {
		return
	}
	for _, listen := range v.listeners {
		listen(value)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.value, v.set = value, true
}

// Listen calls f with the value, if one has been set, and with each later one.
func (v *Value[T]) Listen(f func(T)) {
	v.order.Lock()
	defer v.order.Unlock()
	v.listeners = append(v.listeners, f)
	v.mu.Lock()
	value, set := v.value, v.set
	v.mu.Unlock()
	if set {
		f(value)
	}
}

// Load returns the value, or the zero value of T if none has been set.
func (v *Value[T]) Load() T {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.value
}

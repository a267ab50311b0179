package soaker

import (
	"slices"
	"sync"
)

// overlay holds the values of the faults of one kind that are in effect. Faults may
// overlap, so each has its own value, which its end removes.
type overlay[T any] struct {
	mu     sync.Mutex
	values []*T
}

// add adds the value of a fault and returns the function that removes it.
func (o *overlay[T]) add(value T) (remove func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := &value
	o.values = append(o.values, v)
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.values = slices.DeleteFunc(o.values, func(other *T) bool { return other == v })
	}
}

// current returns the values of the faults in effect.
func (o *overlay[T]) current() []T {
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]T, 0, len(o.values))
	for _, v := range o.values {
		list = append(list, *v)
	}
	return list
}

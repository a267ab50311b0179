package experimenter

import (
	"tarragonhead.example/tarragonhead/internal/mitigator"
	"tarragonhead.example/tarragonhead/internal/placer"
	"tarragonhead.example/tarragonhead/internal/scheduler"
)

// Variant is a policy to compare.
type Variant struct {
	Name string
	// Configure sets the options of a scheduling core that the variant needs.
	Configure func(o *scheduler.Options, seed uint64)
}

// FirstFit places tasks by their declared size on the first worker with enough
// room.
func FirstFit() Variant {
	return Variant{"first_fit", func(o *scheduler.Options, _ uint64) { o.Policy = placer.FirstFit() }}
}

// BestFitDeclared places tasks by their declared size on the worker that has the
// least room left.
func BestFitDeclared() Variant {
	return Variant{"best_fit_declared", func(o *scheduler.Options, _ uint64) { o.Policy = placer.BestFit() }}
}

// BestFit places tasks by their estimated size on the worker that has the least
// room left, without regard to interference.
func BestFit() Variant {
	return Variant{"best_fit", func(o *scheduler.Options, _ uint64) {
		scheduler.NewLearner(nil).Attach(o)
		o.Policy = placer.BestFit()
	}}
}

// InterferenceAware places tasks by their expected interference and mitigates
// interference between running tasks.
func InterferenceAware() Variant {
	return Variant{"interference_aware", func(o *scheduler.Options, _ uint64) {
		l := scheduler.NewLearner(mitigator.New())
		l.Attach(o)
		o.Policy = placer.InterferenceAware(l.Estimates())
	}}
}

// PlacementOnly places tasks by their expected interference, without mitigation.
func PlacementOnly() Variant {
	return Variant{"placement_only", func(o *scheduler.Options, _ uint64) {
		l := scheduler.NewLearner(nil)
		l.Attach(o)
		o.Policy = placer.InterferenceAware(l.Estimates())
	}}
}

func variants() []Variant {
	return []Variant{FirstFit(), BestFitDeclared(), BestFit(), InterferenceAware(), PlacementOnly()}
}

// Policies returns the names of all variants.
func Policies() []string {
	var names []string
	for _, v := range variants() {
		names = append(names, v.Name)
	}
	return names
}

// DefaultPolicies returns the names of the variants that the goals compare.
func DefaultPolicies() []string { return []string{"first_fit", "best_fit", "interference_aware"} }

// VariantOf returns the variant with the given name. If there is none, the
// variant returned leaves the options of a core unchanged.
func VariantOf(name string) Variant {
	for _, v := range variants() {
		if v.Name == name {
			return v
		}
	}
	return Variant{Name: name, Configure: func(*scheduler.Options, uint64) {}}
}

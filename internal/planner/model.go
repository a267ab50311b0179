package planner

import (
	"maps"
	"slices"
)

// sharer learns how much tasks disturb the lasting tasks beside them. For each
// image that serves it fits
//
//	log(tail / target) = level + sum over images of slope x cores beside it
//
// by recursive least squares with a prior.
type sharer struct{ models map[string]*model }

func newSharer() *sharer { return &sharer{models: map[string]*model{}} }

// maxInnovation bounds the error from which the fit learns at once.
const maxInnovation = 1.0

// model is the fit for one serving image.
type model struct {
	index map[string]int
	// coefficients has the level first, then a slope for each known image.
	coefficients []float64
	// covariance is the inverse of the weighted moment matrix.
	covariance [][]float64
}

func (s *sharer) model(image string) *model {
	m := s.models[image]
	if m == nil {
		m = &model{index: map[string]int{}}
		m.grow(-0.5)
		s.models[image] = m
	}
	return m
}

// grow adds a coefficient with its prior.
func (m *model) grow(prior float64) {
	for i := range m.covariance {
		m.covariance[i] = append(m.covariance[i], 0)
	}
	row := make([]float64, len(m.coefficients)+1)
	row[len(m.coefficients)] = 1 / priorWeight
	m.coefficients = append(m.coefficients, prior)
	m.covariance = append(m.covariance, row)
}

func (m *model) slot(image string) int {
	i, ok := m.index[image]
	if !ok {
		m.grow(priorSlope)
		i = len(m.coefficients) - 1
		m.index[image] = i
	}
	return i
}

// slope is the rise of the logarithm for ten cores of an image.
func (m *model) slope(image string) float64 { return max(leastSlope, m.coefficients[m.slot(image)]) }

// observe updates the fit with one tail beside the given cores by image.
func (m *model) observe(beside map[string]float64, tail float64) {
	for _, image := range slices.Sorted(maps.Keys(beside)) {
		m.slot(image)
	}
	n := len(m.coefficients)
	x := make([]float64, n)
	x[0] = 1
	for image, cores := range beside {
		x[m.index[image]] = cores / cpuUnit
	}
	gain := make([]float64, n)
	scale := memory
	predicted := 0.0
	for i := range n {
		for k := range n {
			gain[i] += m.covariance[i][k] * x[k]
		}
		scale += x[i] * gain[i]
		predicted += x[i] * m.coefficients[i]
	}
	// A tail far off says that the task stands still, or has just begun, and
	// nothing of its company.
	off := max(-maxInnovation, min(maxInnovation, tail-predicted))
	for i := range n {
		m.coefficients[i] += gain[i] / scale * off
	}
	for i := range n {
		for k := range n {
			m.covariance[i][k] = (m.covariance[i][k] - gain[i]*gain[k]/scale) / memory
		}
	}
	// Without a bound, forgetting lets the variance of an image that isn't seen
	// grow until one observation moves it anywhere.
	for i := range n {
		m.covariance[i][i] = min(m.covariance[i][i], 1)
	}
}

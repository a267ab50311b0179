package planner

import (
	"maps"
	"slices"
)

// tailModels estimates how much best-effort tasks raise the tail latency of the
// long-running tasks on the same worker. For each serving image it fits
//
//	log(tail latency / target) = base level + sum over images of slope x cores in use
//
// by recursive least squares with a prior.
type tailModels struct{ models map[string]*model }

func newTailModels() *tailModels { return &tailModels{models: map[string]*model{}} }

// maxInnovation bounds the prediction error of a level that one observation
// contributes.
const maxInnovation = 1.0

// model holds the fitted coefficients of one serving image.
type model struct {
	// index maps best-effort images to their positions in coefficients.
	index map[string]int
	// coefficients holds the base level, followed by one slope for each image
	// in index.
	coefficients []float64
	// covariance is the inverse of the weighted moment matrix.
	covariance [][]float64
}

func (s *tailModels) modelFor(image string) *model {
	m := s.models[image]
	if m == nil {
		m = &model{index: map[string]int{}}
		// Alone on a worker, a serving task is assumed to be at exp(-0.5), which
		// is 61%, of its target.
		m.addCoefficient(-0.5)
		s.models[image] = m
	}
	return m
}

// addCoefficient appends a coefficient with the given prior value.
func (m *model) addCoefficient(prior float64) {
	for i := range m.covariance {
		m.covariance[i] = append(m.covariance[i], 0)
	}
	row := make([]float64, len(m.coefficients)+1)
	row[len(m.coefficients)] = 1 / priorWeight
	m.coefficients = append(m.coefficients, prior)
	m.covariance = append(m.covariance, row)
}

func (m *model) indexOf(image string) int {
	i, ok := m.index[image]
	if !ok {
		m.addCoefficient(priorSlope)
		i = len(m.coefficients) - 1
		m.index[image] = i
	}
	return i
}

// slope returns by how much ten cores of an image raise the logarithm of the
// tail latency over its target.
func (m *model) slope(image string) float64 { return max(minSlope, m.coefficients[m.indexOf(image)]) }

// observe updates the fit with one observed level and the cores in use by image
// at that time.
func (m *model) observe(neighbours map[string]float64, level float64) {
	for _, image := range slices.Sorted(maps.Keys(neighbours)) {
		m.indexOf(image)
	}
	n := len(m.coefficients)
	x := make([]float64, n)
	x[0] = 1
	for image, cores := range neighbours {
		x[m.index[image]] = cores / coresPerUnit
	}
	gain := make([]float64, n)
	scale := forgettingFactor
	predicted := 0.0
	for i := range n {
		for k := range n {
			gain[i] += m.covariance[i][k] * x[k]
		}
		scale += x[i] * gain[i]
		predicted += x[i] * m.coefficients[i]
	}
	// A level far from the prediction means that the task is stalled or has
	// just started; it says little about the tasks on the same worker.
	innovation := max(-maxInnovation, min(maxInnovation, level-predicted))
	for i := range n {
		m.coefficients[i] += gain[i] / scale * innovation
	}
	for i := range n {
		for k := range n {
			m.covariance[i][k] = (m.covariance[i][k] - gain[i]*gain[k]/scale) / forgettingFactor
		}
	}
	// Without this bound, forgetting inflates the variance of an image that is
	// not observed until a single observation can move its slope arbitrarily.
	for i := range n {
		m.covariance[i][i] = min(m.covariance[i][i], 1)
	}
}

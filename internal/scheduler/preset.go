package scheduler

import (
	"tarragonhead.example/tarragonhead/internal/declarer"
	"tarragonhead.example/tarragonhead/internal/placer"
)

func parametersOf(p declarer.Preset) placer.Parameters { return placer.ParametersOf(p) }

// Package measurer measures the resource usage of processes at several sizes of
// a system and fits a line to the measurements.
package measurer

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"
)

// clockTicks is the number of ticks per second in which /proc counts CPU time. It
// is 100 on every Linux architecture that Go supports.
const clockTicks = 100

// Usage is the resource usage of a process since its start.
type Usage struct {
	// CPU is the CPU time in user and in kernel mode.
	CPU time.Duration
	// Memory is the resident memory in bytes.
	Memory int64
	// Bytes is the number of bytes read and written, including sockets.
	Bytes int64
}

// Read returns the usage of the process with the given id.
func Read(pid int) (Usage, error) {
	var u Usage
	statLine, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, errors.Wrap(err, "read usage of process")
	}
	// The command's name, in parentheses, may contain spaces.
	fields := strings.Fields(string(statLine[strings.LastIndexByte(string(statLine), ')')+1:]))
	const userField, systemField, residentField = 11, 12, 21
	ticks := parseInt(fields[userField]) + parseInt(fields[systemField])
	u.CPU = time.Duration(ticks) * time.Second / clockTicks
	u.Memory = parseInt(fields[residentField]) * int64(os.Getpagesize())
	counters, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, errors.Wrap(err, "read usage of process")
	}
	for line := range strings.Lines(string(counters)) {
		name, value, _ := strings.Cut(line, ":")
		if name == "rchar" || name == "wchar" {
			u.Bytes += parseInt(strings.TrimSpace(value))
		}
	}
	return u, nil
}

func parseInt(s string) int64 {
	n, _ := strconv.ParseInt(s, 10, 64)
	return n
}

// Rate is the resource usage of a process per second, and its resident memory.
type Rate struct {
	// CPU is the number of cores used.
	CPU float64
	// Memory is the resident memory in bytes.
	Memory float64
	// Bytes is the number of bytes read and written per second.
	Bytes float64
}

// Between returns the rate between the usages a and b, which were read d apart.
func Between(a, b Usage, d time.Duration) Rate {
	return Rate{
		CPU:    float64(b.CPU-a.CPU) / float64(d),
		Memory: float64(b.Memory),
		Bytes:  float64(b.Bytes-a.Bytes) / d.Seconds(),
	}
}

// Line is a straight line fitted to measurements.
type Line struct {
	// Base is the value at size zero and Slope the growth per unit of size.
	Base, Slope float64
	// Fit is the coefficient of determination; 1 is a perfect fit.
	Fit float64
}

// Fit fits a line to the values at the sizes by least squares.
func Fit(sizes, values []float64) Line {
	base, slope := stat.LinearRegression(sizes, values, nil, false)
	return Line{base, slope, stat.RSquared(sizes, values, nil, base, slope)}
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

package capacity

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// kibibyte is the unit of memory sizes in /proc, in bytes.
	kibibyte = 1 << 10
	// clockTick is the unit of processor times in /proc.
	clockTick = 10 * time.Millisecond
	// Indexes of the fields of /proc/PID/stat that follow the process name, from zero.
	fieldParent = 1
	fieldUser   = 11
	fieldSystem = 12
)

// Process is the resource usage of a process as the kernel reports it.
type Process struct {
	PID int
	// Name is the name of its settings file without the .json extension.
	Name string
	// Resident is its resident memory in bytes, Private the part of it that is not
	// backed by files.
	Resident float64
	Private  float64
	CPUTime  time.Duration
	// Read and Written are the bytes that all read and write calls transferred, those on
	// connections included.
	Read    float64
	Written float64
}

// Children returns the child processes of this process. It omits processes
// that it cannot read, and returns an error only if it cannot list /proc.
func Children() ([]Process, error) {
	paths, err := filepath.Glob("/proc/[0-9]*")
	if err != nil {
		return nil, errors.Wrap(err, "list processes")
	}
	var list []Process
	for _, path := range paths {
		pid, err := strconv.Atoi(filepath.Base(path))
		if err != nil {
			continue
		}
		// A process may exit between the listing and the read; it is skipped.
		p, parent, err := readProcess(pid)
		if err == nil && parent == os.Getpid() {
			list = append(list, p)
		}
	}
	return list, nil
}

// readProcess returns a process and the process id of its parent. If the parent is
// not this process, only the id of the process is set.
func readProcess(pid int) (Process, int, error) {
	p := Process{PID: pid}
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return p, 0, errors.Wrap(err, "read stat")
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	parent, err := strconv.Atoi(fields[fieldParent])
	if err != nil || parent != os.Getpid() {
		return p, parent, err
	}
	user, _ := strconv.Atoi(fields[fieldUser])
	system, _ := strconv.Atoi(fields[fieldSystem])
	p.CPUTime = time.Duration(user+system) * clockTick
	p.Resident = readNumber(pid, "status", "VmRSS:") * kibibyte
	p.Private = readNumber(pid, "status", "RssAnon:") * kibibyte
	p.Read = readNumber(pid, "io", "rchar:")
	p.Written = readNumber(pid, "io", "wchar:")
	command, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
	for _, argument := range bytes.Split(command, []byte{0}) {
		if name, ok := strings.CutSuffix(string(argument), ".json"); ok {
			p.Name = filepath.Base(name)
		}
	}
	return p, parent, errors.Wrap(err, "read command line")
}

// readNumber returns the number after a label in a file of /proc/PID, or zero if the
// file cannot be read or lacks the label.
func readNumber(pid int, file, label string) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == label {
			n, _ := strconv.ParseFloat(fields[1], 64)
			return n
		}
	}
	return 0
}

// OwnCPUTime returns the user and system time that this process has used, or zero if
// the kernel does not report it.
func OwnCPUTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// OwnMemory runs the garbage collector and returns the heap and stack memory that this
// process uses, in bytes.
func OwnMemory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
